/**
 * Tasks of one job that are offloaded to a peer in one message, and how their offloads end.
 */
import type { OffloadedTaskEnd } from '../ports/peers.js';
import type { PendingTask } from '../queue/types.js';
import type { TaskOutcome } from '../types/jobs.js';
import type { Deferred } from '../utils/deferred.js';

/** How an offload ended. */
export type OffloadEnd =
  | { readonly kind: 'ended'; readonly outcome: TaskOutcome; readonly elapsedMs: number }
  /** The peer certainly did not start the task. */
  | { readonly kind: 'not-started' }
  /** The peer may have started the task, and its end is not known. */
  | { readonly kind: 'lost' }
  /** The job of the task has ended. `isSent`: the peer may have started the task. */
  | { readonly kind: 'withdrawn'; readonly isSent: boolean };

/** An offload that has not ended. */
export interface PendingOffload {
  readonly entry: PendingTask;
  /** Number of the attempt, by which the peer recognises the task if it is sent again. */
  readonly attempt: number;
  readonly end: Deferred<OffloadEnd>;
}

/** Tasks of one job that go to one peer in one message. */
export interface OffloadBatch {
  readonly incarnation: string;
  readonly jobId: string;
  readonly offloads: PendingOffload[];
  /** Largest size that their inputs may have, by the declared bounds. */
  bytes: number;
}

/** Ends all offloads of a batch in the same way. */
export const resolveAll = ({ offloads }: OffloadBatch, end: OffloadEnd): void => {
  offloads.forEach((offload) => offload.end.resolve(end));
};

/** An outcome `not-run` means that the task can run elsewhere. */
export const toOffloadEnd = ({ outcome, elapsedMs }: OffloadedTaskEnd): OffloadEnd =>
  outcome.kind === 'not-run' ? { kind: 'not-started' } : { kind: 'ended', outcome, elapsedMs };
