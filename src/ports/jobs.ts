/** Inbound port of the front end for best-effort jobs, which consist of steps. */
import { z } from 'zod';
import { placementNeedsSchema } from '../types/dispatch.js';
import type { Route } from '../types/routing.js';

export const maxTasksPerStep = 1_000;
export const maxSteps = 64;

export const jobStepSchema = z.object({
  taskCount: z.number().int().positive().max(maxTasksPerStep),
  /** Run time of a task as the caller declares it, which is often far off. */
  estimatedMs: z.number().positive(),
  /** Indexes of the earlier steps that have to be done before this one starts. */
  after: z.array(z.number().int().nonnegative()),
  needs: placementNeedsSchema,
});
export type JobStep = z.infer<typeof jobStepSchema>;

export const jobRequestSchema = z.object({
  /** Chosen by the caller. */
  jobId: z.string(),
  spec: z.string(),
  steps: z.array(jobStepSchema).min(1).max(maxSteps),
  /** Names, for the log, of requested features that this system does not have, such as storing jobs. */
  unsupported: z.array(z.string()),
});
export type JobRequest = z.infer<typeof jobRequestSchema>;

/** How a submitted job ended. */
export type JobEnd =
  | { readonly kind: 'completed' }
  /** The ends of its runs prove that a task cannot be done; which workers are listed proves nothing. */
  | { readonly kind: 'failed'; readonly reason: string }
  /** Abandoned; some of its tasks may have run. */
  | { readonly kind: 'given-up'; readonly reason: string }
  /** None of its tasks has run or will run for this request, now or later. */
  | { readonly kind: 'refused'; readonly reason: string; readonly retryAfterMs: number }
  /** The caller has disconnected or cancelled the job. */
  | { readonly kind: 'cancelled' };

/** The result of looking up the route of a request. */
export type RouteMatch =
  | { readonly kind: 'found'; readonly route: Route }
  | { readonly kind: 'unknown' }
  /** No routing configuration is in force yet. */
  | { readonly kind: 'unconfigured' };

export type JobState = 'queued' | 'running' | 'unknown';

/**
 * What is known after a cancellation. `cancelled`: a daemon had the job, which ends. `unknown`: no daemon has a
 * job of this id. `unconfirmed`: it was not found so far, and a daemon that may have it has not answered yet.
 */
export type CancellationOutcome = 'cancelled' | 'unknown' | 'unconfirmed';

/** A connection of a caller that was accepted. */
export interface AcceptedConnection {
  /**
   * Tells how early its first request can have been sent, when that is read. A request may have waited unread with its
   * connection; one that comes on a connection that was read before has not.
   *
   * @returns monotonic time in milliseconds, or nothing for a request that has not waited with its connection
   */
  earliestSentAtMs(): number | undefined;
}

/** Learns of each connection of a caller when it is accepted, also of one that is dropped at once. */
export interface CallerConnections {
  accept(): AcceptedConnection;
}

export interface JobService {
  /** @returns whether the daemon accepts new jobs */
  isReady(): boolean;
  /** @returns size of the largest request body that is accepted, in bytes */
  maxBodyBytes(): number;
  findRoute(host: string, path: string): RouteMatch;
  /**
   * Runs a job and waits for its end. If the job runs here already, only waits for its end.
   *
   * @param route - route of the request
   * @param request - the job
   * @param deadlineMs - time that the caller waits, in milliseconds
   * @param signal - aborted when the caller disconnects
   * @param earliestSentAtMs - as its connection tells
   */
  submit(
    route: Route,
    request: JobRequest,
    deadlineMs: number,
    signal: AbortSignal,
    earliestSentAtMs?: number,
  ): Promise<JobEnd>;
  state(jobId: string): JobState;
  /** Whether a task of a job may have run, or may run, for another request as far as is known here. */
  mayHaveRun(jobId: string): boolean;
  /** Cancels a job wherever it runs. */
  cancel(jobId: string): Promise<CancellationOutcome>;
  /** @returns number of the route's jobs of which no task has started */
  countWaiting(routeId: string): number;
}
