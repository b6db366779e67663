/**
 * Runs the tasks of one step: sends them to dispatchers in batches, and reassigns the tasks that certainly run
 * nowhere: those that a dispatcher returns, and those that expired before anything of their batch was started.
 */
import type { CheckedPlan, JobAdmission } from '../admission/jobAdmission.js';
import type { TaskDemand } from '../dispatch/workerChoice.js';
import type { BatchTask, TaskEnd } from '../types/dispatch.js';
import { unreachable } from '../errors/unreachable.js';
import type { Clock } from '../ports/clock.js';
import type { StandstillDetector } from '../fleet/standstillDetector.js';
import type { Logger } from '../ports/logger.js';
import type { BatchResult, BatchSender } from './batchSender.js';
import { composeBatch } from './composeBatch.js';
import { findExpired, toPlanning } from './stepPlanning.js';
import type { PlacementRequest, Planning } from './stepPlanning.js';
import { firstUnsuccessful, stepDone } from './stepEnd.js';
import type { StepEnd } from './stepEnd.js';
import type { StepPlanner, PlannedBatch, StepPlan } from './stepPlanner.js';
import type { JobContext, SentBatch } from './jobContext.js';

/** How often tasks are reassigned quickly. After that, a job of which nothing has started ends. */
const maxQuickReassignments = 5;
/** Pause before returned tasks are sent again, in milliseconds. */
const reassignmentPauseMs = 15;
/**
 * Pause before a job that may have started tries again to place tasks that no dispatcher can take now, in
 * milliseconds. Workers that refuse or fail are out of service for 0.2 s or more.
 */
const retryPauseMs = 100;
/** Period in which a job looks whether its other batches have ended, in milliseconds. */
const otherBatchesPeriodMs = 10;

export interface StepRunOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly planner: StepPlanner;
  readonly sender: BatchSender;
  readonly admission: Pick<
    JobAdmission,
    'decide' | 'recordArrival' | 'recordAdmission' | 'retryAfterMs'
  >;
  /** Ends the jobs from before a standstill of this process. */
  readonly standstills: Pick<StandstillDetector, 'check' | 'settlingMs'>;
}

export class StepRun {
  private constructor(
    private readonly options: StepRunOptions,
    private readonly job: JobContext,
    private readonly index: number,
  ) {}

  static create(options: StepRunOptions, job: JobContext, index: number): StepRun {
    return new StepRun(options, job, index);
  }

  /** Runs all tasks of the step; resolves when all are done or at the first end that is not. */
  run(): Promise<StepEnd> {
    const tasks = Array.from({ length: this.job.stepAt(this.index).taskCount }, (_, index) => ({
      index,
      nextRun: 1,
      failedRuns: 0,
      lostWorkers: 0,
    }));
    return this.place({ tasks, excludedDispatcherIds: new Set(), reassignments: 0 });
  }

  /**
   * Plans tasks and sends them to the planned dispatchers. Where none can take them now, a job that may have
   * started tries again until they could no longer end in time: it cannot be refused any more.
   */
  private async place(request: PlacementRequest): Promise<StepEnd> {
    if (request.reassignments > maxQuickReassignments && !this.job.mayHaveStarted) {
      return { kind: 'given-up', reason: 'no dispatcher could run its tasks' };
    }
    this.options.standstills.check();
    if (this.job.hasEnded) {
      return { kind: 'given-up', reason: 'the job has ended' };
    }
    const planning = this.plan(request);
    switch (planning.kind) {
      case 'planned':
        return firstUnsuccessful(
          planning.plan.batches.map((batch) => this.send(batch, planning.plan, request)),
        );
      case 'later':
        await this.options.clock.sleep(planning.pauseMs);
        return this.place(request);
      case 'refused':
        return planning;
      default:
        return unreachable(planning);
    }
  }

  /**
   * Plans tasks and reserves capacity for them. Dispatchers that returned them are used only if no
   * other can run them. A job that cannot have started waits or is refused as the admission decides.
   */
  private plan({ tasks, excludedDispatcherIds }: PlacementRequest): Planning {
    const { admission, planner } = this.options;
    const { job } = this;
    const { serviceId } = job.route;
    const demand = job.demandOf(this.index);
    const isUnstarted = !job.mayHaveStarted;
    const early = isUnstarted ? toPlanning(admission.decide(job, demand)) : undefined;
    if (early !== undefined) {
      return early;
    }
    const plan =
      planner.plan(serviceId, demand, tasks, excludedDispatcherIds) ??
      planner.plan(serviceId, demand, tasks, new Set());
    if (plan === undefined) {
      return this.planningWithoutWorkers(demand);
    }
    const late = isUnstarted
      ? toPlanning(admission.decide(job, demand, this.forecastOf(plan)))
      : undefined;
    if (late !== undefined) {
      return late;
    }
    if (!job.wasAdmitted) {
      job.wasAdmitted = true;
      admission.recordAdmission(job);
    }
    planner.commit(plan);
    return { kind: 'planned', plan };
  }

  private forecastOf({ longestWaitMs, lastEndAtMs, oldestReportAgeMs }: StepPlan): CheckedPlan {
    const endsInMs = lastEndAtMs - this.options.clock.nowMs();
    return { longestWaitMs, endsInMs, oldestReportAgeMs };
  }

  /** @returns what becomes of tasks that no dispatcher can take now */
  private planningWithoutWorkers({ estimatedMs, giveUpAtMs }: TaskDemand): Planning {
    const nowMs = this.options.clock.nowMs();
    const isTimeLeft = nowMs + retryPauseMs + estimatedMs <= giveUpAtMs;
    return this.job.mayHaveStarted && isTimeLeft
      ? { kind: 'later', pauseMs: retryPauseMs }
      : { kind: 'refused', reason: 'no dispatcher has a worker for it', waitMs: 0 };
  }

  /**
   * Sends a batch and waits for its tasks. Tasks that the dispatcher returns at once are reassigned
   * while a second request for the same batch waits for the others.
   */
  private async send(
    { dispatcherId, tasks }: PlannedBatch,
    plan: StepPlan,
    request: PlacementRequest,
  ): Promise<StepEnd> {
    const { sender } = this.options;
    const { job, index: stepIndex } = this;
    const { reassignments } = request;
    const batchId = sender.nextBatchId();
    const batch = composeBatch(
      { batchId, job, stepIndex, tasks, plan, reassignments },
      this.options.clock.nowMs(),
    );
    const sent: SentBatch = { dispatcherId, batchId: batch.batchId };
    this.job.openBatches.add(sent);
    this.options.logger.info('Tasks are sent to a dispatcher.', {
      jobId: batch.jobId,
      batchId: batch.batchId,
      nodeId: dispatcherId,
      count: tasks.length,
      ageMs: plan.oldestReportAgeMs,
    });
    const finish = (
      result: BatchResult,
      returnedIndexes: ReadonlySet<number>,
    ): Promise<StepEnd> => {
      this.job.openBatches.delete(sent);
      if (result.kind === 'lost') {
        sender.recordLost(batch, returnedIndexes, result);
      }
      return this.handleResult(result, dispatcherId, request, returnedIndexes);
    };
    const first = await sender.run(dispatcherId, batch);
    if (first.kind !== 'partial') {
      return finish(first, new Set());
    }
    const reassignedIndexes = new Set(first.returned.map(({ index }) => index));
    const reassigned = this.reassign(first.returned, dispatcherId, request);
    const remaining = sender
      .run(dispatcherId, batch)
      .then((result) => finish(result, reassignedIndexes));
    return firstUnsuccessful([reassigned, remaining]);
  }

  /**
   * Handles the final answer to a batch and reassigns the tasks that were returned.
   *
   * @param reassignedIndexes - tasks that a partial answer returned, which are reassigned already
   */
  private async handleResult(
    result: BatchResult,
    dispatcherId: string,
    request: PlacementRequest,
    reassignedIndexes: ReadonlySet<number>,
  ): Promise<StepEnd> {
    switch (result.kind) {
      case 'lost':
        // The dispatcher may have asked a worker to start a task.
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
    const unsuccessful = ends
      .map((end) => this.handleTaskEnd(end))
      .find((end) => end !== undefined);
    if (unsuccessful !== undefined) {
      return unsuccessful;
    }
    const expired = findExpired(ends, request);
    if (expired.length > 0 && (wasOffered || !(await this.mayOthersHaveStarted()))) {
      return { kind: 'refused', reason: 'it could no longer end in time', waitMs: 0 };
    }
    const returned = ends.flatMap((end) =>
      end.kind === 'returned' && !reassignedIndexes.has(end.task.index) ? [end.task] : [],
    );
    const open = [...returned, ...expired];
    if (open.length === 0) {
      return stepDone;
    }
    await this.options.clock.sleep(reassignmentPauseMs);
    return this.reassign(open, dispatcherId, request);
  }

  /**
   * Whether a task of another batch of the job may have been started, once that is known: a batch of which none
   * was has expired before the time until which the job is admitted.
   */
  private async mayOthersHaveStarted(): Promise<boolean> {
    const { clock } = this.options;
    const { job } = this;
    const isUnknown = (): boolean => !job.wasOffered && job.openBatches.size > 0;
    while (isUnknown() && clock.nowMs() < job.latestAdmissibleEndAtMs) {
      await clock.sleep(otherBatchesPeriodMs);
    }
    job.wasOffered = job.mayHaveStarted;
    return job.wasOffered;
  }

  /** Places tasks that run nowhere, on other dispatchers than the one that had them if possible. */
  private async reassign(
    tasks: readonly BatchTask[],
    dispatcherId: string,
    { excludedDispatcherIds, reassignments }: PlacementRequest,
  ): Promise<StepEnd> {
    if (reassignments >= maxQuickReassignments && this.job.mayHaveStarted) {
      await this.options.clock.sleep(retryPauseMs);
    }
    return this.place({
      tasks,
      excludedDispatcherIds: new Set([...excludedDispatcherIds, dispatcherId]),
      reassignments: reassignments + 1,
    });
  }

  /**
   * Handles the end of one task; the run time of a task that is done improves the predictions.
   *
   * @returns the end of the step if this task ends it, or nothing if it was done, returned or expired
   */
  private handleTaskEnd(end: TaskEnd): StepEnd | undefined {
    switch (end.kind) {
      case 'done':
        this.job.observeRunTime(this.index, end.lengthMs);
        return undefined;
      case 'returned':
      case 'expired':
        return undefined;
      case 'failed':
        return { kind: 'failed', reason: end.reason };
      case 'withdrawn':
        return { kind: 'given-up', reason: end.reason ?? 'its dispatcher withdrew it' };
      default:
        return unreachable(end);
    }
  }
}
