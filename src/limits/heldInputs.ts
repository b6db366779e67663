/**
 * Counts the bytes of the inputs of accepted jobs that have no answer yet.
 */
import type { Submission } from '../types/jobs.js';

export class HeldInputs {
  private heldBytes = 0;

  private constructor() {
    // Built by create.
  }

  static create(): HeldInputs {
    return new HeldInputs();
  }

  /** Bytes of all inputs that are held now, as JSON. */
  get bytes(): number {
    return this.heldBytes;
  }

  /**
   * Counts the inputs of a job until it has its answer.
   *
   * @param submission - the job
   * @param answer - settles when the job has its answer
   */
  hold(submission: Submission, answer: Promise<unknown>): void {
    const bytes = submission.tasks.reduce((sum, { input }) => sum + inputSizeBytes(input), 0);
    this.heldBytes += bytes;
    const release = () => {
      this.heldBytes -= bytes;
    };
    void answer.then(release, release);
  }
}

/** @returns the bytes of an input as JSON in UTF-8; 0 for a missing one */
export const inputSizeBytes = (input: unknown): number =>
  input === undefined ? 0 : Buffer.byteLength(JSON.stringify(input));
