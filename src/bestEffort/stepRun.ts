/**
 * Runs the tasks of one step: divides them among the dispatchers, and gives what comes back to others.
 */
import type { Batch, BatchTask, TaskEnd } from '../types/dispatch.js';
import { unreachable } from '../errors/unreachable.js';
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { BatchResult, BatchSender } from './batchSender.js';
import type { JobPlanner, PlannedBatch, StepPlan } from './jobPlanner.js';
import type { JobState, SentBatch } from './jobState.js';

/** Times that a task is given to another dispatcher after one gave it back. */
const maxReplacements = 5;
/** Replacements of which a dispatcher may give a task back for want of room. */
const maxReturnsForRoom = 2;
const replacementPauseMs = 15;
/** A task waits this much longer for room than was expected before it comes back, in milliseconds. */
const waitToleranceMs = 20;
/** A wait that no task has; it then stays where it is. */
const anyWaitMs = 60_000;

/** How a step ended, or some of its tasks. */
export type StepEnd =
  | { readonly kind: 'done' }
  /** A task failed as often as its route allows. */
  | { readonly kind: 'failed'; readonly reason: string }
  /** Its tasks may have run, and nothing more is tried. */
  | { readonly kind: 'given-up'; readonly reason: string }
  /** It would be late. */
  | { readonly kind: 'refused'; readonly reason: string; readonly waitMs: number };

export interface StepRunOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly planner: JobPlanner;
  readonly sender: BatchSender;
  /** Gives the name of the next batch. */
  readonly nextBatchId: () => string;
}

/** Tasks that are to be placed. */
interface Placement {
  readonly tasks: readonly BatchTask[];
  /** Dispatchers that gave the tasks back. */
  readonly avoided: ReadonlySet<string>;
  readonly replacements: number;
}

const doneEnd: StepEnd = { kind: 'done' };

export class StepRun {
  private constructor(
    private readonly options: StepRunOptions,
    private readonly job: JobState,
    private readonly index: number,
  ) {}

  static create(options: StepRunOptions, job: JobState, index: number): StepRun {
    return new StepRun(options, job, index);
  }

  /** Runs every task of the step. */
  run(): Promise<StepEnd> {
    const tasks = Array.from({ length: this.job.stepAt(this.index).taskCount }, (_, index) => ({
      index,
      nextRun: 1,
      failedRuns: 0,
    }));
    return this.place({ tasks, avoided: new Set(), replacements: 0 });
  }

  private async place(placement: Placement): Promise<StepEnd> {
    if (placement.replacements > maxReplacements) {
      return { kind: 'given-up', reason: 'no dispatcher could run its tasks' };
    }
    if (this.job.isEnded) {
      return { kind: 'given-up', reason: 'the job has ended' };
    }
    const plan = this.plan(placement);
    if (plan.kind === 'refused') {
      return plan;
    }
    return firstBad(plan.plan.batches.map((batch) => this.send(batch, plan.plan, placement)));
  }

  /** Plans tasks; a job of which nothing was offered is refused if it would be too late. */
  private plan({
    tasks,
    avoided,
  }: Placement):
    { readonly kind: 'planned'; readonly plan: StepPlan } | Extract<StepEnd, { kind: 'refused' }> {
    const { planner } = this.options;
    const { serviceId } = this.job.route;
    const demand = this.job.demandOf(this.index);
    const plan =
      planner.plan(serviceId, demand, tasks, avoided) ??
      planner.plan(serviceId, demand, tasks, new Set());
    if (plan === undefined) {
      return { kind: 'refused', reason: 'no dispatcher has a worker for it', waitMs: 0 };
    }
    const lateMs = plan.lastEndAtMs - demand.objectiveAtMs;
    const isTooLate = plan.longestWaitMs > 0 && plan.lastEndAtMs > this.job.admissibleEndAtMs;
    if (isTooLate && !this.job.hasStarted) {
      const nowMs = this.options.clock.nowMs();
      this.options.logger.info('No room is free in time.', {
        jobId: this.job.request.jobId,
        count: tasks.length,
        expectedMs: Math.round(plan.lastEndAtMs - nowMs),
        leftMs: Math.round(demand.objectiveAtMs - nowMs),
        ageMs: plan.oldestWordMs,
      });
      return { kind: 'refused', reason: 'its objective cannot be met', waitMs: lateMs };
    }
    planner.commit(plan);
    return { kind: 'planned', plan };
  }

  private async send(
    { dispatcherId, tasks }: PlannedBatch,
    plan: StepPlan,
    placement: Placement,
  ): Promise<StepEnd> {
    const { sender } = this.options;
    const batch = this.composeBatch(tasks, plan, placement);
    const sent: SentBatch = { dispatcherId, batchId: batch.batchId };
    this.job.open.add(sent);
    this.options.logger.info('Tasks go to a dispatcher.', {
      jobId: batch.jobId,
      batchId: batch.batchId,
      nodeId: dispatcherId,
      count: tasks.length,
      ageMs: plan.oldestWordMs,
    });
    const first = await sender.run(dispatcherId, batch);
    if (first.kind !== 'partial') {
      this.job.open.delete(sent);
      return this.settle(first, dispatcherId, placement, new Set());
    }
    const early = first.returned.map(({ index }) => index);
    const replaced = this.replace(first.returned, dispatcherId, placement);
    const rest = sender.run(dispatcherId, batch).then((result) => {
      this.job.open.delete(sent);
      return this.settle(result, dispatcherId, placement, new Set(early));
    });
    return firstBad([replaced, rest]);
  }

  /** Takes the answer to a batch; tasks that came back early are placed already. */
  private async settle(
    result: BatchResult,
    dispatcherId: string,
    placement: Placement,
    early: ReadonlySet<number>,
  ): Promise<StepEnd> {
    switch (result.kind) {
      case 'lost':
        // Nobody knows whether it offered anything.
        this.job.wasOffered = true;
        return { kind: 'given-up', reason: `its dispatcher was lost: ${result.reason}` };
      case 'partial':
        return { kind: 'given-up', reason: 'its dispatcher answered in part twice' };
      case 'ended':
        break;
      default:
        return unreachable(result);
    }
    const { ends, wasOffered } = result.end;
    this.job.wasOffered ||= wasOffered;
    const bad = ends.map((end) => this.take(end)).find((end) => end !== undefined);
    if (bad !== undefined) {
      return bad;
    }
    const returned = ends.flatMap((end) =>
      end.kind === 'returned' && !early.has(end.task.index) ? [end.task] : [],
    );
    if (returned.length === 0) {
      return doneEnd;
    }
    await this.options.clock.sleep(replacementPauseMs);
    return this.replace(returned, dispatcherId, placement);
  }

  private replace(
    tasks: readonly BatchTask[],
    dispatcherId: string,
    { avoided, replacements }: Placement,
  ): Promise<StepEnd> {
    return this.place({
      tasks,
      avoided: new Set([...avoided, dispatcherId]),
      replacements: replacements + 1,
    });
  }

  /** @returns why the step ends, if it does by this task */
  private take(end: TaskEnd): StepEnd | undefined {
    switch (end.kind) {
      case 'done':
        this.job.learn(this.index, end.lengthMs);
        return undefined;
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
  }

  private composeBatch(
    tasks: BatchTask[],
    { startsNow, longestWaitMs }: StepPlan,
    { replacements }: Placement,
  ): Batch {
    const { job } = this;
    const { route, request } = job;
    const { needs, estimatedMs, objectiveAtMs, giveUpAtMs } = job.demandOf(this.index);
    const nowMs = this.options.clock.nowMs();
    const isOffered = startsNow || job.wasOffered;
    const mayReturn = replacements < maxReturnsForRoom;
    return {
      batchId: this.options.nextBatchId(),
      jobId: request.jobId,
      stepIndex: this.index,
      serviceId: route.serviceId,
      spec: request.spec,
      needs,
      estimatedMs: Math.max(Math.round(estimatedMs), 1),
      objectiveInMs: Math.round(objectiveAtMs - nowMs),
      giveUpInMs: Math.round(giveUpAtMs - nowMs),
      expiresInMs: Math.round((isOffered ? giveUpAtMs : job.admissibleEndAtMs) - nowMs),
      maxWaitMs: mayReturn ? Math.round(longestWaitMs) + waitToleranceMs : anyWaitMs,
      priority: route.priority,
      maxFailedRuns: route.maxFailedRuns,
      tasks: [...tasks],
    };
  }
}

/**
 * Waits for parts of a step.
 *
 * @returns the first end that is not `done`, at once, or `done` when all are
 */
export const firstBad = (ends: readonly Promise<StepEnd>[]): Promise<StepEnd> => {
  const bad = new Promise<StepEnd>((resolve) => {
    ends.forEach((end) => void end.then((one) => (one.kind === 'done' ? undefined : resolve(one))));
  });
  return Promise.race([bad, Promise.all(ends).then(() => doneEnd)]);
};
