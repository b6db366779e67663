/**
 * Takes the jobs of callers: finds their route, refuses what cannot be run here, and runs the rest.
 */
import { countJobEnd } from '../bestEffort/countJobEnd.js';
import type { RunningJobs } from '../bestEffort/runningJobs.js';
import type { JobEnd, JobRequest, JobService, JobState, RouteMatch } from '../ports/jobs.js';
import type { Logger } from '../ports/logger.js';
import type { Metrics } from '../ports/metrics.js';
import type { RoutingStore } from '../routing/routingStore.js';
import type { Route } from '../types/routing.js';
import type { WorkerDirectory } from '../workers/workerDirectory.js';

/** Time to wait before a job is sent again that this system cannot run. */
const unsupportedRetryAfterMs = 60_000;
/** Time to wait before a job is sent again to another daemon. */
const stoppingRetryAfterMs = 1_000;
const fallbackBodyBytes = 262_144;

export interface JobIntakeOptions {
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly routing: RoutingStore;
  readonly directory: WorkerDirectory;
  readonly jobs: RunningJobs;
}

/** How far a planned stop is. */
type IntakeState = 'open' | 'leaving' | 'closed';

export class JobIntake implements JobService {
  private intake: IntakeState = 'open';

  private constructor(private readonly options: JobIntakeOptions) {}

  static create(options: JobIntakeOptions): JobIntake {
    return new JobIntake(options);
  }

  /** Is not ready from now on, but still takes jobs. */
  leave(): void {
    this.intake = 'leaving';
  }

  /** Refuses new jobs from now on. */
  close(): void {
    this.intake = 'closed';
  }

  isReady(): boolean {
    return this.intake === 'open' && this.options.routing.current !== undefined;
  }

  maxBodyBytes(): number {
    return this.options.routing.current?.routing.maxBodyBytes ?? fallbackBodyBytes;
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
    const end = this.endAtOnce(route, request);
    if (end === undefined) {
      return jobs.submit(route, request, deadlineMs, signal);
    }
    const { jobId } = request;
    const { routeId } = route;
    const { kind: outcome, reason } = end;
    logger.info('A job is not taken.', { jobId, routeId, outcome, reason });
    countJobEnd(metrics, routeId, end);
    return end;
  }

  state(jobId: string): JobState {
    return this.options.jobs.state(jobId);
  }

  cancel(jobId: string): boolean {
    return this.options.jobs.cancel(jobId);
  }

  countWaiting(routeId: string): number {
    return this.options.jobs.countWaiting(routeId);
  }

  /** @returns the end of a job that is not taken, or nothing for one that is */
  private endAtOnce(
    route: Route,
    request: JobRequest,
  ): Extract<JobEnd, { kind: 'refused' | 'failed' }> | undefined {
    const { unsupported } = request;
    if (unsupported.length > 0) {
      const reason = `not supported: ${unsupported.join(', ')}`;
      return { kind: 'refused', reason, retryAfterMs: unsupportedRetryAfterMs };
    }
    if (this.intake === 'closed') {
      const reason = 'the daemon stops';
      return { kind: 'refused', reason, retryAfterMs: stoppingRetryAfterMs };
    }
    return this.canNeverRun(route, request)
      ? { kind: 'failed', reason: 'no worker of the service is large enough' }
      : undefined;
  }

  private canNeverRun({ serviceId }: Route, { steps }: JobRequest): boolean {
    return steps.some(
      ({ needs }) =>
        this.options.directory.canEverRun(serviceId, needs.resources, needs.requiredLabel) ===
        false,
    );
  }
}
