/**
 * Runs one job: its steps in their order, each divided among the dispatchers.
 */
import type { Batch, BatchEnd, BatchTask, TaskEnd } from '../dispatch/types.js';
import type { TaskDemand } from '../dispatch/workerChoice.js';
import { unreachable } from '../errors/unreachable.js';
import type { Clock } from '../ports/clock.js';
import type { JobEnd, JobRequest, JobStep } from '../ports/jobs.js';
import type { Logger } from '../ports/logger.js';
import type { Metrics } from '../ports/metrics.js';
import type { Route } from '../routing/types.js';
import type { JobPlanner, PlannedBatch, StepPlan } from './jobPlanner.js';
import { createDeferred } from '../utils/deferred.js';
import { abortQuietly } from '../utils/abortQuietly.js';
import type { LengthHints, RunLengths } from './runLengths.js';
import {
  admissionAllowanceMs,
  objectiveMs,
  retryAfterMs,
  timeAfterStepMs,
  worthlessAfterMs,
} from './objective.js';

/** Times that the tasks of a step are given to other dispatchers after one gave them back. */
const maxReplacements = 4;
const replacementPauseMs = 20;
/** Time for the dispatchers to tell whether they offered anything of a job that is given up. */
const withdrawalWaitMs = 100;

/** How a batch ended at its dispatcher. */
export type BatchResult =
  | { readonly kind: 'ended'; readonly end: BatchEnd }
  /** The dispatcher is no longer heard; its tasks may have run. */
  | { readonly kind: 'lost'; readonly reason: string };

/** Sends batches to dispatchers, this daemon's own among them. */
export interface BatchSender {
  run(dispatcherId: string, batch: Batch): Promise<BatchResult>;
  withdraw(dispatcherId: string, batchId: string): void;
}

export interface JobRunOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly planner: JobPlanner;
  readonly sender: BatchSender;
  readonly lengths: RunLengths;
  /** Gives the name of the next batch. */
  readonly nextBatchId: () => string;
}

/** How a step ended. */
type StepEnd =
  | { readonly kind: 'done' }
  /** A task failed as often as its route allows. */
  | { readonly kind: 'failed'; readonly reason: string }
  /** Its tasks may have run, and nothing more is tried. */
  | { readonly kind: 'given-up'; readonly reason: string }
  /** It would be late. */
  | { readonly kind: 'refused'; readonly reason: string; readonly waitMs: number };

interface SentBatch {
  readonly dispatcherId: string;
  readonly batchId: string;
}

export class JobRun {
  private readonly open = new Set<SentBatch>();
  private readonly startedAtMs: number;
  private readonly objectiveAtMs: number;
  private readonly giveUpAtMs: number;
  private readonly givenUp = createDeferred<JobEnd>();
  private wasOffered = false;
  private isEnded = false;

  /** The steps with the run times that are expected of their tasks. */
  private readonly steps: readonly JobStep[];

  private constructor(
    private readonly options: JobRunOptions,
    readonly route: Route,
    readonly request: JobRequest,
    private readonly deadlineMs: number,
  ) {
    this.startedAtMs = options.clock.nowMs();
    this.steps = request.steps.map((step) => ({
      ...step,
      estimatedMs: options.lengths.predictMs(route.routeId, this.hintsOf(step)),
    }));
    const objective = objectiveMs(route, this.steps);
    this.objectiveAtMs = this.startedAtMs + objective;
    this.giveUpAtMs = this.startedAtMs + Math.min(deadlineMs, worthlessAfterMs(objective));
  }

  static create(
    options: JobRunOptions,
    route: Route,
    request: JobRequest,
    deadlineMs: number,
  ): JobRun {
    return new JobRun(options, route, request, deadlineMs);
  }

  /** @returns time until the job should have ended, from its arrival, in milliseconds */
  get expectedMs(): number {
    return Math.round(this.objectiveAtMs - this.startedAtMs);
  }

  /** Tells whether a dispatcher may have started something. */
  get hasStarted(): boolean {
    return this.open.size > 0 || this.wasOffered;
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
    this.isEnded = true;
    this.withdrawOpen();
    return end.kind === 'given-up' ? this.refuseIfUnoffered(end.reason) : end;
  }

  /** Tells the truth about a job that is given up: it may come back if nothing of it was offered. */
  private async refuseIfUnoffered(reason: string): Promise<JobEnd> {
    const { clock } = this.options;
    const untilMs = clock.nowMs() + withdrawalWaitMs;
    while (this.open.size > 0 && clock.nowMs() < untilMs) {
      await clock.sleep(withdrawalWaitMs / 10);
    }
    return this.hasStarted
      ? { kind: 'given-up', reason }
      : { kind: 'refused', reason, retryAfterMs: retryAfterMs(0) };
  }

  private async timeUp(signal: AbortSignal): Promise<JobEnd> {
    const { clock } = this.options;
    await clock.sleep(this.giveUpAtMs - clock.nowMs(), signal);
    return { kind: 'given-up', reason: 'it did not end before its deadline' };
  }

  private async runSteps(): Promise<JobEnd> {
    const done = new Map<number, Promise<StepEnd>>();
    for (const [index, step] of this.steps.entries()) {
      done.set(index, this.runAfter(step, index, done));
    }
    const ends = [...done.values()];
    // The first step that does not succeed ends the job; the others are then withdrawn.
    const firstBad = new Promise<StepEnd>((resolve) => {
      ends.forEach(
        (end) => void end.then((one) => (one.kind === 'done' ? undefined : resolve(one))),
      );
    });
    const all = Promise.all(ends).then((): StepEnd => ({ kind: 'done' }));
    return this.toJobEnd(await Promise.race([firstBad, all]));
  }

  private async runAfter(
    step: JobStep,
    index: number,
    done: ReadonlyMap<number, Promise<StepEnd>>,
  ): Promise<StepEnd> {
    const before = await Promise.all(step.after.flatMap((earlier) => done.get(earlier) ?? []));
    const bad = before.find(({ kind }) => kind !== 'done');
    return bad ?? this.runStep(step, index);
  }

  private async runStep(step: JobStep, index: number): Promise<StepEnd> {
    const { clock } = this.options;
    let tasks: BatchTask[] = Array.from({ length: step.taskCount }, (_, task) => ({
      index: task,
      nextRun: 1,
      failedRuns: 0,
    }));
    const avoided = new Set<string>();
    for (let round = 0; round <= maxReplacements && tasks.length > 0; round += 1) {
      const demand = this.demandOf(step, index);
      const plan = this.plan(demand, tasks, avoided);
      if (plan.kind !== 'planned') {
        return plan;
      }
      const results = await Promise.all(
        plan.plan.batches.map((batch) => this.send(step, index, batch, plan.plan.startsNow)),
      );
      const bad = results.find((result) => result.kind === 'bad');
      if (bad?.kind === 'bad') {
        return bad.end;
      }
      tasks = results.flatMap((result) => (result.kind === 'good' ? result.returned : []));
      results.forEach((result) => {
        if (result.kind === 'good' && result.returned.length > 0) {
          avoided.add(result.dispatcherId);
        }
      });
      if (tasks.length > 0) {
        await clock.sleep(replacementPauseMs);
      }
    }
    return tasks.length === 0
      ? { kind: 'done' }
      : { kind: 'given-up', reason: 'no dispatcher could run its tasks' };
  }

  private demandOf(step: JobStep, index: number): TaskDemand {
    const laterMs = timeAfterStepMs(this.steps, index);
    return {
      needs: step.needs,
      estimatedMs: step.estimatedMs,
      objectiveAtMs: this.objectiveAtMs - laterMs,
      giveUpAtMs: this.giveUpAtMs - laterMs,
    };
  }

  /** Plans tasks; a job of which nothing was offered is refused if it would be too late. */
  private plan(
    demand: TaskDemand,
    tasks: readonly BatchTask[],
    avoided: ReadonlySet<string>,
  ): { readonly kind: 'planned'; readonly plan: StepPlan } | Extract<StepEnd, { kind: 'refused' }> {
    const { planner, clock } = this.options;
    const plan =
      planner.plan(this.route.serviceId, demand, tasks, avoided) ??
      planner.plan(this.route.serviceId, demand, tasks, new Set());
    if (plan === undefined) {
      return { kind: 'refused', reason: 'no dispatcher has a worker for it', waitMs: 0 };
    }
    const lateMs = plan.lastEndAtMs - demand.objectiveAtMs;
    const isTooLate =
      plan.longestWaitMs > 0 &&
      lateMs > admissionAllowanceMs(this.objectiveAtMs - this.startedAtMs);
    if (isTooLate && !this.hasStarted) {
      return { kind: 'refused', reason: 'its objective cannot be met', waitMs: lateMs };
    }
    this.options.logger.debug('The tasks of a step are placed.', {
      jobId: this.request.jobId,
      count: tasks.length,
      dispatchers: plan.batches.length,
      expectedMs: Math.round(plan.lastEndAtMs - clock.nowMs()),
    });
    planner.commit(plan);
    return { kind: 'planned', plan };
  }

  private async send(
    step: JobStep,
    stepIndex: number,
    { dispatcherId, tasks }: PlannedBatch,
    startsNow: boolean,
  ): Promise<
    | { readonly kind: 'good'; readonly dispatcherId: string; readonly returned: BatchTask[] }
    | { readonly kind: 'bad'; readonly end: StepEnd }
  > {
    if (this.isEnded) {
      return { kind: 'bad', end: { kind: 'given-up', reason: 'the job has ended' } };
    }
    const batch = this.composeBatch(step, stepIndex, tasks, startsNow);
    const sent: SentBatch = { dispatcherId, batchId: batch.batchId };
    this.open.add(sent);
    const result = await this.options.sender.run(dispatcherId, batch);
    this.open.delete(sent);
    if (result.kind === 'lost') {
      // Nobody knows whether it offered anything.
      this.wasOffered = true;
      const reason = `its dispatcher was lost: ${result.reason}`;
      return { kind: 'bad', end: { kind: 'given-up', reason } };
    }
    this.wasOffered ||= result.end.wasOffered;
    result.end.ends.forEach((end) => this.learn(stepIndex, end));
    const bad = result.end.ends.map(findFailure).find((end) => end !== undefined);
    if (bad !== undefined) {
      return { kind: 'bad', end: bad };
    }
    const returned = result.end.ends.flatMap((end) => (end.kind === 'returned' ? [end.task] : []));
    return { kind: 'good', dispatcherId, returned };
  }

  private hintsOf({ estimatedMs }: JobStep): LengthHints {
    return { declaredMs: estimatedMs, deadlineMs: this.deadlineMs };
  }

  /** Learns the length of the route's tasks from one that was done. */
  private learn(stepIndex: number, end: TaskEnd): void {
    const step = this.request.steps[stepIndex];
    if (end.kind === 'done' && step !== undefined) {
      this.options.lengths.observe(this.route.routeId, this.hintsOf(step), end.lengthMs);
    }
  }

  private composeBatch(
    step: JobStep,
    stepIndex: number,
    tasks: BatchTask[],
    startsNow: boolean,
  ): Batch {
    const demand = this.demandOf(step, stepIndex);
    const nowMs = this.options.clock.nowMs();
    const isOffered = startsNow || this.wasOffered;
    const allowanceMs = admissionAllowanceMs(this.objectiveAtMs - this.startedAtMs);
    const expiresAtMs = demand.objectiveAtMs + allowanceMs;
    return {
      batchId: this.options.nextBatchId(),
      jobId: this.request.jobId,
      stepIndex,
      serviceId: this.route.serviceId,
      spec: this.request.spec,
      needs: step.needs,
      estimatedMs: Math.max(Math.round(step.estimatedMs), 1),
      objectiveInMs: Math.round(demand.objectiveAtMs - nowMs),
      giveUpInMs: Math.round(demand.giveUpAtMs - nowMs),
      expiresInMs: Math.round((isOffered ? demand.giveUpAtMs : expiresAtMs) - nowMs),
      priority: this.route.priority,
      maxFailedRuns: this.route.maxFailedRuns,
      tasks,
    };
  }

  private toJobEnd(end: StepEnd): JobEnd {
    switch (end.kind) {
      case 'done':
        return { kind: 'completed' };
      case 'failed':
      case 'given-up':
        return end;
      case 'refused':
        return this.hasStarted
          ? { kind: 'given-up', reason: end.reason }
          : { kind: 'refused', reason: end.reason, retryAfterMs: retryAfterMs(end.waitMs) };
      default:
        return unreachable(end);
    }
  }

  private withdrawOpen(): void {
    for (const { dispatcherId, batchId } of this.open) {
      this.options.sender.withdraw(dispatcherId, batchId);
    }
  }
}

const findFailure = (end: TaskEnd): StepEnd | undefined => {
  switch (end.kind) {
    case 'done':
    case 'returned':
      return undefined;
    case 'failed':
      return { kind: 'failed', reason: end.reason };
    case 'expired':
      return { kind: 'refused', reason: 'it could no longer end in time', waitMs: 0 };
    case 'withdrawn':
      return { kind: 'given-up', reason: 'its dispatcher withdrew it' };
    default:
      return unreachable(end);
  }
};
