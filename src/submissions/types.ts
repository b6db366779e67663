/**
 * Types of the records that submission tables hold.
 */
import type { JobAnswer } from '../types/jobs.js';
import type { FinishedRecord } from '../ports/peers.js';

/** A job that runs now; any number of requests may wait for its answer. */
export interface RunningJob {
  readonly jobId: string;
  /** Resolves when every task of the job has ended. */
  readonly answer: Promise<JobAnswer>;
  /** Withdraws the waiting tasks and stops the running ones. */
  cancel(): void;
}

/** State of one submission: running, or finished with an answer or a refusal. */
export type SubmissionRecord =
  { readonly state: 'running'; readonly digest: string; readonly job: RunningJob } | FinishedRecord;

/** What a table can prove about one key. */
export type LookupResult =
  | { readonly kind: 'known'; readonly record: SubmissionRecord }
  /** Never started; its epoch is open, so that it may start now. */
  | { readonly kind: 'startable' }
  /** Never started and never will be: its epoch is closed and its records are complete. */
  | { readonly kind: 'never-started' }
  /** The table does not hold the records of the epoch, so an earlier start cannot be ruled out. */
  | { readonly kind: 'discarded' };
