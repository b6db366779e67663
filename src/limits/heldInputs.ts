/**
 * The bytes of the inputs of jobs that have no answer yet.
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

  get bytes(): number {
    return this.heldBytes;
  }

  /**
   * Counts the inputs of a job until it ends.
   *
   * @param submission - the job
   * @param ended - settles when the job has its answer
   */
  hold(submission: Submission, ended: Promise<unknown>): void {
    const bytes = submission.tasks.reduce((sum, { input }) => sum + sizeOfInput(input), 0);
    this.heldBytes += bytes;
    const release = () => {
      this.heldBytes -= bytes;
    };
    void ended.then(release, release);
  }
}

/** @returns the bytes of an input as JSON */
export const sizeOfInput = (input: unknown): number =>
  input === undefined ? 0 : Buffer.byteLength(JSON.stringify(input));
