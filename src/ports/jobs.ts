/** Inbound port: what the front end for jobs asks on behalf of callers. */
import { z } from 'zod';
import { placementNeedsSchema } from '../types/dispatch.js';
import type { Route } from '../types/routing.js';

/** Tasks of one step at the most. */
export const maxTasksPerStep = 1_000;
/** Steps of one job at the most. */
export const maxSteps = 64;

export const jobStepSchema = z.object({
  taskCount: z.number().int().positive().max(maxTasksPerStep),
  /** Declared run time of a task; often far off. */
  estimatedMs: z.number().positive(),
  /** Earlier steps that must be done before this one starts. */
  after: z.array(z.number().int().nonnegative()),
  needs: placementNeedsSchema,
});
export type JobStep = z.infer<typeof jobStepSchema>;

export const jobRequestSchema = z.object({
  /** Chosen by the caller. */
  jobId: z.string(),
  spec: z.string(),
  steps: z.array(jobStepSchema).min(1).max(maxSteps),
  /** What the job asks for that this system does not do, such as to be stored; names for the log. */
  unsupported: z.array(z.string()),
});
export type JobRequest = z.infer<typeof jobRequestSchema>;

/** What became of a submitted job. */
export type JobEnd =
  | { readonly kind: 'completed' }
  /** A task has failed as often as its route allows, or the job can never run. */
  | { readonly kind: 'failed'; readonly reason: string }
  /** Given up after something may have run. */
  | { readonly kind: 'given-up'; readonly reason: string }
  /** Nothing of the job has run or will run. */
  | { readonly kind: 'refused'; readonly reason: string; readonly retryAfterMs: number }
  /** The caller has left or cancelled it. */
  | { readonly kind: 'cancelled' };

/** Where a request goes. */
export type RouteMatch =
  | { readonly kind: 'found'; readonly route: Route }
  | { readonly kind: 'unknown' }
  /** No routing configuration is in force yet. */
  | { readonly kind: 'unconfigured' };

export type JobState = 'queued' | 'running' | 'unknown';

export interface JobService {
  isReady(): boolean;
  /** @returns largest body of a request, in bytes */
  maxBodyBytes(): number;
  findRoute(host: string, path: string): RouteMatch;
  /**
   * Runs a job and waits for its end. A job that runs here already is attached to.
   *
   * @param route - where it came in
   * @param request - the job
   * @param deadlineMs - how long the caller waits, in milliseconds
   * @param signal - the caller has left
   */
  submit(
    route: Route,
    request: JobRequest,
    deadlineMs: number,
    signal: AbortSignal,
  ): Promise<JobEnd>;
  state(jobId: string): JobState;
  /** @returns whether the job was known here */
  cancel(jobId: string): boolean;
  /** Counts the jobs of a route of which nothing has started. */
  countWaiting(routeId: string): number;
}
