/**
 * The jobs that this daemon runs for callers. A request with the id of a running job waits for that
 * job instead of starting another one.
 */
import { describeWait } from '../fleet/callerContact.js';
import type { Clock } from '../ports/clock.js';
import type { HolderAnswer } from '../ports/fleetPeers.js';
import type { JobEnd, JobRequest, JobState } from '../ports/jobs.js';
import type { Logger } from '../ports/logger.js';
import type { CancelledJob } from '../types/fleet.js';
import type { Route } from '../types/routing.js';
import { abortQuietly } from '../utils/abortQuietly.js';
import { CancelledJobs } from './cancelledJobs.js';
import { countJobEnd } from './countJobEnd.js';
import { EndedJobs } from './endedJobs.js';
import { JobRun } from './jobRun.js';
import type { JobRunEnd, JobRunOptions } from './jobRun.js';

/**
 * Time for which a caller of another daemon counts as waiting for a job after the answer to that daemon's last question,
 * in milliseconds.
 */
const questionPauseMs = 900;

/** A job of which runs may go on here. */
export interface HeldJob {
  readonly jobId: string;
  /** Time by which no run of it goes on, in milliseconds. */
  readonly leftMs: number;
}

/** How a job is submitted that does not run here yet. */
export interface JobStart {
  /** The earliest time at which the request may have been sent, in monotonic time; if left out, as this process knows. */
  readonly earliestSentAtMs?: number | undefined;
  /** Whether another daemon holds the job; asked just before its first start is planned. */
  readonly isHeldElsewhere: () => boolean;
}

/** A job with the number of requests that wait for it. */
interface RunningJob {
  readonly run: JobRun;
  readonly end: Promise<JobRunEnd>;
  /** Cancels the job. */
  readonly stop: AbortController;
  waiters: number;
}

export class RunningJobs {
  /** By job id. */
  private readonly jobs = new Map<string, RunningJob>();
  private readonly cancelled: CancelledJobs;
  private readonly ended: EndedJobs;
  private readonly logger: Logger;
  private readonly clock: Clock;

  private constructor(private readonly options: JobRunOptions) {
    this.logger = options.logger;
    this.clock = options.clock;
    this.cancelled = CancelledJobs.create(options.clock);
    this.ended = EndedJobs.create(options.clock, options.leaseTimes);
  }

  static create(options: JobRunOptions): RunningJobs {
    return new RunningJobs(options);
  }

  get size(): number {
    return this.jobs.size;
  }

  /**
   * Runs a job. If one with its id already runs here, waits for that one; the other arguments but
   * the signal are ignored then. A job that was cancelled a while ago is not started again.
   *
   * @param route - the route on which the job was submitted
   * @param request - the job
   * @param deadlineMs - how long the caller waits, in milliseconds
   * @param signal - aborted when this caller leaves; the job is cancelled when its last one leaves
   * @returns how the job ended, or that nothing of it was started since another daemon holds it
   */
  async submit(
    route: Route,
    request: JobRequest,
    deadlineMs: number,
    signal: AbortSignal,
    start: JobStart,
  ): Promise<JobRunEnd> {
    this.options.standstills.check();
    if (signal.aborted) {
      return { kind: 'cancelled' };
    }
    const { jobId } = request;
    if (this.wasCancelled(jobId)) {
      const end: JobEnd = { kind: 'cancelled' };
      this.logger.info('A job that was cancelled is not started.', { jobId });
      countJobEnd(this.options.metrics, route.routeId, end);
      return end;
    }
    const job = this.jobs.get(jobId) ?? this.start(route, request, deadlineMs, start);
    return this.waitFor(job, signal);
  }

  /**
   * Answers another daemon whose caller waits for a job of this one, which counts as a request that waits: also after the
   * answer for a while, so that the next question finds the job.
   *
   * @param waitMs - time for which the end of the job is awaited, in milliseconds
   */
  async answerFor(jobId: string, waitMs: number): Promise<HolderAnswer> {
    const job = this.jobs.get(jobId);
    if (job === undefined) {
      return this.wasCancelled(jobId)
        ? { kind: 'ended', end: { kind: 'cancelled' } }
        : this.ended.answerFor(jobId);
    }
    const over = new AbortController();
    void this.waitFor(job, over.signal).then(() => abortQuietly(over));
    void this.clock.sleep(waitMs + questionPauseMs, over.signal).then(() => abortQuietly(over));
    const answer = new AbortController();
    const end = await Promise.race([job.end, this.clock.sleep(waitMs, answer.signal)]);
    abortQuietly(answer);
    if (end?.kind === 'held-elsewhere') {
      return { kind: 'unknown' };
    }
    return this.jobs.get(jobId) === job
      ? { kind: 'running', leftMs: this.leftMsOf(job) }
      : this.answerFor(jobId, 0);
  }

  /** Lists the jobs of which runs may go on and that other daemons are told of, the latest first. */
  listHeld(): HeldJob[] {
    const nowMs = this.clock.nowMs();
    const running = [...this.jobs.values()].map(({ run }) => ({
      ...{ jobId: run.jobId, statedFromMs: run.statedFromMs, untilMs: run.runsEndAtMs },
    }));
    return [...this.ended.listRunning(), ...running]
      .filter(({ statedFromMs }) => statedFromMs <= nowMs)
      .map(({ jobId, untilMs }) => ({ jobId, leftMs: Math.max(untilMs - nowMs, 0) }))
      .reverse();
  }

  /** Whether a job was cancelled a while ago, at its caller's request. */
  wasCancelled(jobId: string): boolean {
    return this.cancelled.find(jobId) !== undefined;
  }

  /** @returns `queued` until a task may have run, then `running`; `unknown` if not running here */
  state(jobId: string): JobState {
    const job = this.jobs.get(jobId);
    if (job === undefined) {
      return 'unknown';
    }
    return job.run.mayHaveStarted ? 'running' : 'queued';
  }

  /** Whether a task of a job may have run here, or may run. */
  mayHaveRun(jobId: string): boolean {
    return this.jobs.has(jobId) || this.ended.mayHaveRun(jobId);
  }

  /**
   * Cancels a job for all its callers. It is remembered for some time, so that a request for it that comes
   * only now starts nothing.
   *
   * @returns whether it runs here, or did when it was cancelled
   */
  cancel(jobId: string): boolean {
    const job = this.jobs.get(jobId);
    const wasFound = job !== undefined || this.cancelled.find(jobId) === 'found';
    this.cancelled.record(jobId, wasFound ? 'found' : 'not-found');
    job?.stop.abort();
    return wasFound;
  }

  /** @returns the jobs that were cancelled a while ago, for a daemon that may not have heard of it */
  listCancelled(): CancelledJob[] {
    return this.cancelled.list();
  }

  /** Records what another daemon tells of a cancelled job, and ends the job if it runs here. */
  recordCancelled({ jobId, wasFound, agoMs }: CancelledJob): void {
    if (this.cancelled.find(jobId) === undefined) {
      const job = this.jobs.get(jobId);
      const isFound = wasFound || job !== undefined;
      this.cancelled.record(jobId, isFound ? 'found' : 'not-found', agoMs);
      job?.stop.abort();
    }
  }

  /** Ends every job as given up, or as refused where no task can have run. */
  giveUpAll(reason: string): void {
    this.jobs.forEach(({ run }) => run.giveUp(reason));
  }

  /** Counts the jobs of a route of which no task can have run. */
  countWaiting(routeId: string): number {
    return [...this.jobs.values()].filter(
      ({ run }) => run.route.routeId === routeId && !run.mayHaveStarted,
    ).length;
  }

  /** Waits for a job, which is cancelled when the last one that waits for it leaves. */
  private async waitFor(job: RunningJob, signal: AbortSignal): Promise<JobRunEnd> {
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

  private leftMsOf({ run }: RunningJob): number {
    return Math.max(run.runsEndAtMs - this.clock.nowMs(), 0);
  }

  private start(
    route: Route,
    request: JobRequest,
    deadlineMs: number,
    { earliestSentAtMs, isHeldElsewhere }: JobStart,
  ): RunningJob {
    const run = JobRun.create(this.options, route, request, deadlineMs, earliestSentAtMs);
    this.logger.info('A job is accepted.', {
      jobId: request.jobId,
      routeId: route.routeId,
      count: request.steps.reduce((sum, { taskCount }) => sum + taskCount, 0),
      expectedMs: run.objectiveMs,
      leftMs: Math.round(deadlineMs),
      ...describeWait(run.wait),
    });
    const stop = new AbortController();
    const end = this.runToEnd(run, stop.signal, isHeldElsewhere);
    const job: RunningJob = { run, end, stop, waiters: 0 };
    this.jobs.set(request.jobId, job);
    return job;
  }

  /** Runs a job, forgets it when it has ended, and counts and logs its end. */
  private async runToEnd(
    run: JobRun,
    signal: AbortSignal,
    isHeldElsewhere: () => boolean,
  ): Promise<JobRunEnd> {
    const startedAtMs = this.clock.nowMs();
    const { jobId } = run;
    const end = await run.run(signal, isHeldElsewhere);
    this.jobs.delete(jobId);
    if (end.kind === 'held-elsewhere') {
      this.logger.info('A job is not started, since another daemon holds it.', { jobId });
      return end;
    }
    const { mayHaveStarted, runsEndAtMs, statedFromMs } = run;
    this.ended.record({ jobId, end, mayHaveStarted, runsEndAtMs, statedFromMs });
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
