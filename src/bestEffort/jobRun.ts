/**
 * Runs one job: its steps in their order, until all are done or nothing more can be tried.
 */
import { unreachable } from '../errors/unreachable.js';
import type { Clock } from '../ports/clock.js';
import type { JobEnd, JobRequest, JobStep } from '../ports/jobs.js';
import type { Logger } from '../ports/logger.js';
import type { Metrics } from '../ports/metrics.js';
import type { Route } from '../types/routing.js';
import { abortQuietly } from '../utils/abortQuietly.js';
import { createDeferred } from '../utils/deferred.js';
import { JobState } from './jobState.js';
import { retryAfterMs } from './objective.js';
import type { RunLengths } from './runLengths.js';
import { StepRun, firstBad } from './stepRun.js';
import type { StepEnd, StepRunOptions } from './stepRun.js';

/** Time for the dispatchers to tell whether they offered anything of a job that is given up. */
const withdrawalWaitMs = 100;

export interface JobRunOptions extends StepRunOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly lengths: RunLengths;
}

export class JobRun {
  private readonly givenUp = createDeferred<JobEnd>();
  private readonly job: JobState;

  private constructor(
    private readonly options: JobRunOptions,
    route: Route,
    request: JobRequest,
    deadlineMs: number,
  ) {
    const { clock, lengths } = options;
    this.job = JobState.create({ clock, lengths, route, request, deadlineMs });
  }

  static create(
    options: JobRunOptions,
    route: Route,
    request: JobRequest,
    deadlineMs: number,
  ): JobRun {
    return new JobRun(options, route, request, deadlineMs);
  }

  get route(): Route {
    return this.job.route;
  }

  get jobId(): string {
    return this.job.request.jobId;
  }

  /** @returns time until the job should have ended, from its arrival, in milliseconds */
  get objectiveMs(): number {
    return Math.round(this.job.objectiveMs);
  }

  /** Tells whether a dispatcher may have started something. */
  get hasStarted(): boolean {
    return this.job.hasStarted;
  }

  /** Ends the job; what runs is stopped. */
  giveUp(reason: string): void {
    this.givenUp.resolve({ kind: 'given-up', reason });
  }

  /**
   * Runs the job.
   *
   * @param signal - the caller has left, or cancels
   */
  async run(signal: AbortSignal): Promise<JobEnd> {
    const left = new Promise<JobEnd>((resolve) => {
      signal.addEventListener('abort', () => resolve({ kind: 'cancelled' }), { once: true });
    });
    const timer = new AbortController();
    const end = await Promise.race([
      this.runSteps(),
      left,
      this.givenUp.promise,
      this.timeUp(timer.signal),
    ]);
    abortQuietly(timer);
    this.job.isEnded = true;
    this.withdrawOpen();
    return end.kind === 'given-up' ? this.refuseIfUnoffered(end.reason) : end;
  }

  /** Tells the truth about a job that is given up: it may come back if nothing of it was offered. */
  private async refuseIfUnoffered(reason: string): Promise<JobEnd> {
    const { clock } = this.options;
    const untilMs = clock.nowMs() + withdrawalWaitMs;
    while (this.job.open.size > 0 && clock.nowMs() < untilMs) {
      await clock.sleep(withdrawalWaitMs / 10);
    }
    return this.job.hasStarted
      ? { kind: 'given-up', reason }
      : { kind: 'refused', reason, retryAfterMs: retryAfterMs(0) };
  }

  private async timeUp(signal: AbortSignal): Promise<JobEnd> {
    const { clock } = this.options;
    await clock.sleep(this.job.giveUpAtMs - clock.nowMs(), signal);
    return { kind: 'given-up', reason: 'it did not end before its deadline' };
  }

  private async runSteps(): Promise<JobEnd> {
    const ends: Promise<StepEnd>[] = [];
    for (const [index, step] of this.job.steps.entries()) {
      ends.push(this.runAfter(step, index, ends));
    }
    return this.toJobEnd(await firstBad(ends));
  }

  private async runAfter(
    step: JobStep,
    index: number,
    ends: readonly Promise<StepEnd>[],
  ): Promise<StepEnd> {
    const before = await Promise.all(step.after.flatMap((earlier) => ends[earlier] ?? []));
    const bad = before.find(({ kind }) => kind !== 'done');
    return bad ?? StepRun.create(this.options, this.job, index).run();
  }

  private toJobEnd(end: StepEnd): JobEnd {
    switch (end.kind) {
      case 'done':
        return { kind: 'completed' };
      case 'failed':
      case 'given-up':
        return end;
      case 'refused':
        return this.job.hasStarted
          ? { kind: 'given-up', reason: end.reason }
          : { kind: 'refused', reason: end.reason, retryAfterMs: retryAfterMs(end.waitMs) };
      default:
        return unreachable(end);
    }
  }

  private withdrawOpen(): void {
    for (const { dispatcherId, batchId } of this.job.open) {
      this.options.sender.withdraw(dispatcherId, batchId);
    }
  }
}
