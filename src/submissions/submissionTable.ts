/**
 * The memory of one daemon process: every submission that it started or refused.
 */
import type { SubmissionRecord } from './types.js';

export class SubmissionTable {
  private readonly records = new Map<string, SubmissionRecord>();

  private constructor() {
    // Built by create.
  }

  static create(): SubmissionTable {
    return new SubmissionTable();
  }

  /**
   * Looks up a submission.
   *
   * @param callerId - the caller
   * @param keyText - the submission key
   * @returns what is remembered, if anything
   */
  find(callerId: string, keyText: string): SubmissionRecord | undefined {
    return this.records.get(identity(callerId, keyText));
  }

  /**
   * Remembers a submission, or what became of it.
   *
   * @param callerId - the caller
   * @param keyText - the submission key
   * @param record - what became of it
   */
  remember(callerId: string, keyText: string, record: SubmissionRecord): void {
    this.records.set(identity(callerId, keyText), record);
  }

  /** @returns the number of remembered submissions */
  get size(): number {
    return this.records.size;
  }
}

/** Names cannot hold a space, so the identity is unambiguous. */
const identity = (callerId: string, keyText: string): string => `${callerId} ${keyText}`;
