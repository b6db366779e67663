/**
 * Runs one job: starts each step once the steps before it are done, until all are done, one ends
 * otherwise, the job runs out of time, or its caller leaves.
 */
import { unreachable } from '../errors/unreachable.js';
import type { LeaseTimes } from '../dispatch/leaseTimes.js';
import type { CallerContact, RequestWait } from '../fleet/callerContact.js';
import { statedAfterMs } from '../fleet/heldJobs.js';
import type { Clock } from '../ports/clock.js';
import type { JobEnd, JobRequest, JobStep } from '../ports/jobs.js';
import type { Logger } from '../ports/logger.js';
import type { Metrics } from '../ports/metrics.js';
import type { Route } from '../types/routing.js';
import { abortQuietly } from '../utils/abortQuietly.js';
import { createDeferred } from '../utils/deferred.js';
import { TaskSupervisor } from '../utils/taskSupervisor.js';
import { JobContext } from './jobContext.js';
import { criticalPathMs } from './objective.js';
import type { RunTimePredictor } from './runTimePredictor.js';
import { firstUnsuccessful } from './stepEnd.js';
import type { StepEnd } from './stepEnd.js';
import { StepRun } from './stepRun.js';
import type { StepRunOptions } from './stepRun.js';

/**
 * How long a job that is given up waits for its withdrawn batches, in milliseconds. Their answers
 * report whether any worker was asked to start a task.
 */
const withdrawalWaitMs = 100;

/** How a run of a job ends: with an answer to its callers, or before its first start, since another daemon holds the job. */
export type JobRunEnd = JobEnd | { readonly kind: 'held-elsewhere' };

export interface JobRunOptions extends StepRunOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Shared by all jobs of this daemon. */
  readonly lengths: RunTimePredictor;
  readonly leaseTimes: LeaseTimes;
  /** How late this process learns what callers send. */
  readonly contact: Pick<CallerContact, 'waitOf'>;
}

export class JobRun {
  /** Resolved by `giveUp`. */
  private readonly givenUp = createDeferred<JobEnd>();
  private readonly job: JobContext;
  /** For how long the request may have waited until it was read. */
  readonly wait: RequestWait;
  /** When this daemon begins to state to others that it holds the job, in monotonic time. */
  readonly statedFromMs: number;

  private constructor(
    private readonly options: JobRunOptions,
    route: Route,
    request: JobRequest,
    deadlineMs: number,
    earliestSentAtMs?: number,
  ) {
    const { clock, lengths, leaseTimes, contact } = options;
    const nowMs = clock.nowMs();
    this.wait = contact.waitOf(earliestSentAtMs);
    const { waitedMs } = this.wait;
    this.job = JobContext.create({
      ...{ clock, lengths, leaseTimes, route, request, deadlineMs, waitedMs },
    });
    const possibleWaitMs = Math.max(waitedMs, this.wait.acceptWaitMs);
    this.statedFromMs = nowMs - possibleWaitMs + statedAfterMs(criticalPathMs(this.job.steps));
  }

  static create(
    options: JobRunOptions,
    route: Route,
    request: JobRequest,
    deadlineMs: number,
    earliestSentAtMs?: number,
  ): JobRun {
    return new JobRun(options, route, request, deadlineMs, earliestSentAtMs);
  }

  /** Time for which the request may have waited until it was read, in milliseconds. */
  get waitedMs(): number {
    return this.wait.waitedMs;
  }

  get route(): Route {
    return this.job.route;
  }

  get jobId(): string {
    return this.job.request.jobId;
  }

  /** Time from the job's arrival within which it should end, in whole milliseconds. */
  get objectiveMs(): number {
    return Math.round(this.job.objectiveMs);
  }

  /** Monotonic time by which no run of the job goes on, in milliseconds. */
  get runsEndAtMs(): number {
    return this.job.runsEndAtMs;
  }

  /** Whether a task of the job may have run. */
  get mayHaveStarted(): boolean {
    return this.job.mayHaveStarted;
  }

  /**
   * Ends the job early and withdraws its batches.
   *
   * @param reason - why, for the log and the `cause` label of metrics
   */
  giveUp(reason: string): void {
    this.job.hasEnded = true;
    this.givenUp.resolve({ kind: 'given-up', reason });
  }

  /**
   * Runs the job and withdraws the batches that are still open when it ends. A job that was given
   * up before any worker was asked to start a task ends as `refused`.
   *
   * @param signal - aborted when the caller has left or cancels the job
   * @param isHeldElsewhere - whether another daemon holds the job, as far as is known when it is asked
   */
  async run(signal: AbortSignal, isHeldElsewhere: () => boolean): Promise<JobRunEnd> {
    const cancelled = new Promise<JobEnd>((resolve) => {
      signal.addEventListener('abort', () => resolve({ kind: 'cancelled' }), { once: true });
    });
    const timer = new AbortController();
    const end = await Promise.race([
      this.runSteps(isHeldElsewhere).catch((error: unknown) => this.giveUpAfterError(error)),
      cancelled,
      this.givenUp.promise,
      this.awaitGiveUpTime(timer.signal),
    ]);
    abortQuietly(timer);
    this.job.hasEnded = true;
    this.withdrawOpenBatches();
    return end.kind === 'given-up' ? this.resolveGivenUp(end.reason) : end;
  }

  /** Reports an error that no step has handled; the batches of the job are withdrawn as at each other end. */
  private giveUpAfterError(error: unknown): JobEnd {
    TaskSupervisor.create(this.options).report('running a job', error);
    return { kind: 'given-up', reason: 'an unexpected error' };
  }

  /**
   * Chooses the end of a job that was given up. If no worker was asked to start a task, the job is
   * refused, which tells the caller that it is safe to send it again.
   */
  private async resolveGivenUp(reason: string): Promise<JobEnd> {
    const { clock, admission } = this.options;
    const untilMs = clock.nowMs() + withdrawalWaitMs;
    while (this.job.openBatches.size > 0 && clock.nowMs() < untilMs) {
      await clock.sleep(withdrawalWaitMs / 10);
    }
    return this.job.mayHaveStarted
      ? { kind: 'given-up', reason }
      : { kind: 'refused', reason, retryAfterMs: admission.retryAfterMs(this.job, 0) };
  }

  private async awaitGiveUpTime(signal: AbortSignal): Promise<JobEnd> {
    const { clock } = this.options;
    await clock.sleep(this.job.giveUpAtMs - clock.nowMs(), signal);
    return { kind: 'given-up', reason: 'it did not end before its deadline' };
  }

  private async runSteps(isHeldElsewhere: () => boolean): Promise<JobRunEnd> {
    await this.settle();
    // What other daemons state may have been read in the same turns.
    if (isHeldElsewhere()) {
      return { kind: 'held-elsewhere' };
    }
    this.options.admission.recordArrival(this.job);
    const ends: Promise<StepEnd>[] = [];
    for (const [index, step] of this.job.steps.entries()) {
      ends.push(this.runWhenReady(step, index, ends));
    }
    return this.toJobEnd(await firstUnsuccessful(ends));
  }

  /**
   * Holds the job until the end of its caller's connection would have been read, since the request may have waited, and
   * the caller may have left before it was read.
   */
  private async settle(): Promise<void> {
    const { clock, standstills } = this.options;
    const { settlingMs } = standstills;
    if (settlingMs > 0) {
      await clock.sleep(settlingMs);
    }
    // The rest of the turn that has read the request, and the next one.
    await clock.nextTurn();
    await clock.nextTurn();
  }

  /** Runs a step once those before it are done; if one of them was not, returns its end. */
  private async runWhenReady(
    step: JobStep,
    index: number,
    ends: readonly Promise<StepEnd>[],
  ): Promise<StepEnd> {
    const earlierEnds = await Promise.all(step.after.flatMap((earlier) => ends[earlier] ?? []));
    const unsuccessful = earlierEnds.find(({ kind }) => kind !== 'done');
    return unsuccessful ?? StepRun.create(this.options, this.job, index).run();
  }

  /** Converts the combined end of the steps into the end of the job. */
  private toJobEnd(end: StepEnd): JobEnd {
    switch (end.kind) {
      case 'done':
        return { kind: 'completed' };
      case 'failed':
      case 'given-up':
        return end;
      case 'refused':
        return this.job.mayHaveStarted
          ? { kind: 'given-up', reason: end.reason }
          : {
              ...{ kind: 'refused', reason: end.reason },
              retryAfterMs: this.options.admission.retryAfterMs(this.job, end.waitMs),
            };
      default:
        return unreachable(end);
    }
  }

  private withdrawOpenBatches(): void {
    for (const { dispatcherId, batchId } of this.job.openBatches) {
      this.options.sender.withdraw(dispatcherId, batchId);
    }
  }
}
