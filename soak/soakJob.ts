/**
 * A job of the soak's callers, the requests for it, and how each request ended.
 */

/** How long a caller waits for an answer. */
export type Patience =
  | { readonly kind: 'to-deadline' }
  /** Past the deadline, so that a late answer is seen. */
  | { readonly kind: 'past-deadline' }
  /** The caller leaves before its deadline. */
  | { readonly kind: 'leaves-early'; readonly afterMs: number };

/** A job of `tasks` equal tasks, each of which runs for `runMs`. */
export interface SoakJob {
  readonly jobId: string;
  /** Whether its first task crashes each worker that starts it. */
  readonly crashesWorkers: boolean;
  readonly tasks: number;
  readonly runMs: number;
  /** Run time that the caller declares. */
  readonly estimatedMs: number;
  readonly deadlineMs: number;
  readonly patience: Patience;
  /** Kind of the workers that its tasks need; any if undefined. */
  readonly workerKind?: string;
}

/** How one request ended. */
export type AttemptEnd =
  | { readonly kind: 'answered'; readonly status: number; readonly state: string | undefined }
  /** The connection broke. */
  | { readonly kind: 'broken'; readonly code: string }
  /** No answer until the grace period after the deadline had passed. */
  | { readonly kind: 'unanswered' }
  /** The caller left at its deadline, or early. */
  | { readonly kind: 'left' };

/** One request for a job. */
export interface Attempt {
  readonly job: SoakJob;
  /** Number of the request for this job, from 1. */
  readonly number: number;
  /** Position of the daemon that the request was sent to. */
  readonly daemon: number;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  readonly end: AttemptEnd;
}
