/**
 * What the tables of submissions remember.
 */
import type { JobAnswer } from '../types/jobs.js';
import type { FinishedRecord } from '../ports/peers.js';

/** A job that runs now; any number of requests may wait for its answer. */
export interface RunningJob {
  readonly jobId: string;
  readonly answer: Promise<JobAnswer>;
  /** Takes out queued work and stops running tasks. */
  cancel(): void;
}

/** What became of one submission. */
export type SubmissionRecord =
  { readonly state: 'running'; readonly digest: string; readonly job: RunningJob } | FinishedRecord;

/** What a table can prove about one key. */
export type Lookup =
  | { readonly kind: 'known'; readonly record: SubmissionRecord }
  /** Never started; its epoch is open. */
  | { readonly kind: 'absent' }
  /** Never started, and never will: its epoch is closed and complete. */
  | { readonly kind: 'never-started' }
  /** Records that could tell are gone. */
  | { readonly kind: 'forgotten' };
