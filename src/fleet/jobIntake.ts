/**
 * Takes the jobs of callers: finds their route, refuses what cannot be run here, and runs the rest.
 */
import type { RunningJobs } from '../bestEffort/runningJobs.js';
import type { JobEnd, JobRequest, JobService, JobState, RouteMatch } from '../ports/jobs.js';
import type { Logger } from '../ports/logger.js';
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
    const { logger, jobs } = this.options;
    const { jobId, unsupported } = request;
    const { routeId } = route;
    if (unsupported.length > 0) {
      const reason = `not supported: ${unsupported.join(', ')}`;
      logger.warn('A job is refused.', { jobId, routeId, reason });
      return { kind: 'refused', reason, retryAfterMs: unsupportedRetryAfterMs };
    }
    if (this.intake === 'closed') {
      const reason = 'the daemon stops';
      logger.info('A job is refused.', { jobId, routeId, reason });
      return { kind: 'refused', reason, retryAfterMs: stoppingRetryAfterMs };
    }
    if (this.canNeverRun(route, request)) {
      const reason = 'no worker of the service is large enough';
      logger.info('A job can never run.', { jobId, routeId, reason });
      return { kind: 'failed', reason };
    }
    return jobs.submit(route, request, deadlineMs, signal);
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

  private canNeverRun({ serviceId }: Route, { steps }: JobRequest): boolean {
    return steps.some(
      ({ needs }) =>
        this.options.directory.canEverRun(serviceId, needs.resources, needs.requiredLabel) ===
        false,
    );
  }
}
