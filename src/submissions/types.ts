/**
 * What the table of submissions remembers.
 */
import type { Problem } from '../errors/problem.js';
import type { JobAnswer } from '../jobs/types.js';

/** A job that runs now; any number of requests may wait for its answer. */
export interface RunningJob {
  readonly jobId: string;
  readonly answer: Promise<JobAnswer>;
  /** Takes out queued work and stops running tasks. */
  cancel(): void;
}

/** What became of one submission. */
export type SubmissionRecord =
  | { readonly state: 'running'; readonly digest: string; readonly job: RunningJob }
  | { readonly state: 'answered'; readonly digest: string; readonly answer: JobAnswer }
  | { readonly state: 'refused'; readonly digest: string; readonly problem: Problem };
