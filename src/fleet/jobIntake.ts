/**
 * Accepts the jobs of callers: finds their route, rejects what cannot run here, and runs the rest.
 */
import { countJobEnd } from '../bestEffort/countJobEnd.js';
import type { RunningJobs } from '../bestEffort/runningJobs.js';
import type {
  CancellationOutcome,
  JobEnd,
  JobRequest,
  JobService,
  JobState,
  RouteMatch,
} from '../ports/jobs.js';
import type { Logger } from '../ports/logger.js';
import type { Metrics } from '../ports/metrics.js';
import type { RoutingStore } from '../routing/routingStore.js';
import type { Route } from '../types/routing.js';
import type { WorkerDirectory } from '../workers/workerDirectory.js';
import type { JobCancellation } from './jobCancellation.js';

/** Time after which a job with unsupported demands may be sent again, in milliseconds. */
const unsupportedRetryAfterMs = 60_000;
/** Time after which a job that a stopping daemon refused may be sent again, in milliseconds. */
const shutdownRetryAfterMs = 1_000;
/** Time after which a job may be sent again that needs more than shrunk workers have, in milliseconds. */
const shrunkRetryAfterMs = 2_000;
/** Largest body of a request before the first routing configuration is in force. */
const defaultMaxBodyBytes = 262_144;

/** The end of a job that is rejected at once. */
type Rejection = Extract<JobEnd, { kind: 'refused' | 'failed' }>;

export interface JobIntakeOptions {
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly routing: RoutingStore;
  readonly directory: WorkerDirectory;
  readonly jobs: RunningJobs;
  readonly cancellation: JobCancellation;
}

/**
 * Phase of a planned shutdown. `leaving`: reports that it is not ready, but accepts jobs. `closed`:
 * refuses new jobs.
 */
type IntakeState = 'open' | 'leaving' | 'closed';

export class JobIntake implements JobService {
  private intakeState: IntakeState = 'open';

  private constructor(private readonly options: JobIntakeOptions) {}

  static create(options: JobIntakeOptions): JobIntake {
    return new JobIntake(options);
  }

  /** Reports from now on that it is not ready, so that callers go elsewhere; still accepts jobs. */
  leave(): void {
    this.intakeState = 'leaving';
  }

  /** Refuses new jobs from now on. */
  close(): void {
    this.intakeState = 'closed';
  }

  isReady(): boolean {
    return this.intakeState === 'open' && this.options.routing.current !== undefined;
  }

  maxBodyBytes(): number {
    return this.options.routing.current?.routing.maxBodyBytes ?? defaultMaxBodyBytes;
  }

  findRoute(host: string, path: string): RouteMatch {
    const active = this.options.routing.current;
    if (active === undefined) {
      return { kind: 'unconfigured' };
    }
    const route = active.table.find(host, path);
    return route === undefined ? { kind: 'unknown' } : { kind: 'found', route };
  }

  async submit(
    route: Route,
    request: JobRequest,
    deadlineMs: number,
    signal: AbortSignal,
  ): Promise<JobEnd> {
    const { logger, metrics, jobs } = this.options;
    const rejection = this.rejectionOf(route, request);
    if (rejection === undefined) {
      return jobs.submit(route, request, deadlineMs, signal);
    }
    const { jobId } = request;
    const { routeId } = route;
    const { kind: outcome, reason } = rejection;
    logger.info('A job is rejected.', { jobId, routeId, outcome, reason });
    countJobEnd(metrics, routeId, rejection);
    return rejection;
  }

  state(jobId: string): JobState {
    return this.options.jobs.state(jobId);
  }

  cancel(jobId: string): Promise<CancellationOutcome> {
    return this.options.cancellation.cancel(jobId);
  }

  countWaiting(routeId: string): number {
    return this.options.jobs.countWaiting(routeId);
  }

  /** @returns how a job ends that is rejected, or nothing for a job that is run */
  private rejectionOf(route: Route, request: JobRequest): Rejection | undefined {
    const { unsupported, jobId } = request;
    if (unsupported.length > 0) {
      const reason = `not supported: ${unsupported.join(', ')}`;
      return { kind: 'refused', reason, retryAfterMs: unsupportedRetryAfterMs };
    }
    // A repeated request of a running job waits for it: it must not be told that nothing runs, or ever can.
    if (this.options.jobs.state(jobId) !== 'unknown') {
      return undefined;
    }
    if (this.intakeState === 'closed') {
      const reason = 'the daemon stops';
      return { kind: 'refused', reason, retryAfterMs: shutdownRetryAfterMs };
    }
    return this.rejectionForSize(route, request);
  }

  /** @returns how a job ends of which some step fits on no listed worker, however much of it is free */
  private rejectionForSize({ serviceId }: Route, { steps }: JobRequest): Rejection | undefined {
    const fits = steps.map(({ needs }) =>
      this.options.directory.fitOf(serviceId, needs.resources, needs.requiredLabel),
    );
    if (fits.includes('never')) {
      return { kind: 'failed', reason: 'no worker of the service is large enough' };
    }
    return fits.includes('shrunk')
      ? {
          kind: 'refused',
          reason: 'no worker of the service is large enough now',
          retryAfterMs: shrunkRetryAfterMs,
        }
      : undefined;
  }
}
