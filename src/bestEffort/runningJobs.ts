/**
 * The jobs that this daemon runs for callers: a repeated request attaches to the job it names.
 */
import type { Clock } from '../ports/clock.js';
import type { JobEnd, JobRequest, JobState } from '../ports/jobs.js';
import type { Logger } from '../ports/logger.js';
import type { Route } from '../types/routing.js';
import { countJobEnd } from './countJobEnd.js';
import { JobRun } from './jobRun.js';
import type { JobRunOptions } from './jobRun.js';

/** A job with those that wait for it. */
interface RunningJob {
  readonly run: JobRun;
  readonly end: Promise<JobEnd>;
  readonly stop: AbortController;
  waiters: number;
}

export class RunningJobs {
  private readonly jobs = new Map<string, RunningJob>();
  private readonly logger: Logger;
  private readonly clock: Clock;

  private constructor(private readonly options: JobRunOptions) {
    this.logger = options.logger;
    this.clock = options.clock;
  }

  static create(options: JobRunOptions): RunningJobs {
    return new RunningJobs(options);
  }

  get size(): number {
    return this.jobs.size;
  }

  /**
   * Runs a job, or attaches to the one that runs under its id.
   *
   * @param route - where it came in
   * @param request - the job
   * @param deadlineMs - how long the caller waits, in milliseconds
   * @param signal - this caller has left; the job is stopped when all have
   */
  async submit(
    route: Route,
    request: JobRequest,
    deadlineMs: number,
    signal: AbortSignal,
  ): Promise<JobEnd> {
    const job = this.jobs.get(request.jobId) ?? this.start(route, request, deadlineMs);
    job.waiters += 1;
    const leave = (): void => {
      job.waiters -= 1;
      if (job.waiters === 0) {
        job.stop.abort();
      }
    };
    signal.addEventListener('abort', leave, { once: true });
    const end = await job.end;
    signal.removeEventListener('abort', leave);
    return end;
  }

  state(jobId: string): JobState {
    const job = this.jobs.get(jobId);
    if (job === undefined) {
      return 'unknown';
    }
    return job.run.hasStarted ? 'running' : 'queued';
  }

  /** @returns whether the job runs here */
  cancel(jobId: string): boolean {
    const job = this.jobs.get(jobId);
    job?.stop.abort();
    return job !== undefined;
  }

  /** Ends every job; its caller is told that it was given up. */
  giveUpAll(reason: string): void {
    this.jobs.forEach(({ run }) => run.giveUp(reason));
  }

  /** Counts the jobs of a route of which nothing has started. */
  countWaiting(routeId: string): number {
    return [...this.jobs.values()].filter(
      ({ run }) => run.route.routeId === routeId && !run.hasStarted,
    ).length;
  }

  private start(route: Route, request: JobRequest, deadlineMs: number): RunningJob {
    const run = JobRun.create(this.options, route, request, deadlineMs);
    this.logger.info('A job is accepted.', {
      jobId: request.jobId,
      routeId: route.routeId,
      count: request.steps.reduce((sum, { taskCount }) => sum + taskCount, 0),
      expectedMs: run.objectiveMs,
      leftMs: Math.round(deadlineMs),
    });
    const stop = new AbortController();
    const end = this.finish(run, stop.signal);
    const job: RunningJob = { run, end, stop, waiters: 0 };
    this.jobs.set(request.jobId, job);
    return job;
  }

  private async finish(run: JobRun, signal: AbortSignal): Promise<JobEnd> {
    const startedAtMs = this.clock.nowMs();
    const { jobId } = run;
    const end = await run.run(signal);
    this.jobs.delete(jobId);
    const { routeId } = run.route;
    const durationMs = Math.round(this.clock.nowMs() - startedAtMs);
    const { metrics } = this.options;
    countJobEnd(metrics, routeId, end);
    metrics.durationMs('job', durationMs, [`route:${routeId}`]);
    this.logger.info('A job has ended.', {
      jobId,
      routeId,
      outcome: end.kind,
      durationMs,
      ...('reason' in end ? { reason: end.reason } : {}),
    });
    return end;
  }
}
