/**
 * State shared by the steps of one running job: its time limits, the predicted run times of its
 * tasks, and the batches that have no final answer yet.
 */
import type { LeaseTimes } from '../dispatch/leaseTimes.js';
import type { TaskDemand } from '../dispatch/workerChoice.js';
import { deadlineTimesFor } from '../fleet/requesterTimes.js';
import type { Clock } from '../ports/clock.js';
import type { JobRequest, JobStep } from '../ports/jobs.js';
import type { Route } from '../types/routing.js';
import {
  admissionToleranceMs,
  computeObjectiveMs,
  giveUpAfterMs,
  remainingAfterStepMs,
} from './objective.js';
import type { RunTimeHints, RunTimePredictor } from './runTimePredictor.js';

/** Identifies a batch that was sent to a dispatcher and has no final answer yet. */
export interface SentBatch {
  /** Incarnation of the daemon that dispatches the batch. */
  readonly dispatcherId: string;
  readonly batchId: string;
}

export interface JobContextOptions {
  readonly clock: Clock;
  /** Shared by all jobs of this daemon. */
  readonly lengths: RunTimePredictor;
  readonly route: Route;
  readonly request: JobRequest;
  /** Of the leases under which tasks run. */
  readonly leaseTimes: LeaseTimes;
  /** How long the caller waits for the job, from when it sent the request, in milliseconds. */
  readonly deadlineMs: number;
  /** Time for which the request may have waited for this process before it was read, in milliseconds. */
  readonly waitedMs: number;
}

/** What the tasks of a step that are done have shown. */
interface ObservedStep {
  readonly taskCount: number;
  readonly longestMs: number;
}

export class JobContext {
  /** Batches that were sent and have no final answer yet. */
  readonly openBatches = new Set<SentBatch>();
  /** The requested steps, with the predicted run time of a task in place of the declared one. */
  readonly steps: readonly JobStep[];
  /** The requested steps, with the predicted run time of the task that takes longest. */
  private readonly longestSteps: readonly JobStep[];
  private readonly observedSteps = new Map<number, ObservedStep>();
  /** Time from the job's arrival within which it should end, in milliseconds. */
  readonly objectiveMs: number;
  /** Monotonic time at which the job is given up, in milliseconds. */
  readonly giveUpAtMs: number;
  /** Monotonic time by which no run of the job goes on, in milliseconds. */
  readonly runsEndAtMs: number;
  /** Whether a worker was, or may have been, asked to start a task of the job. */
  wasOffered = false;
  /** Set once the job has its result; no further batch is sent then. */
  hasEnded = false;
  /** Set once a plan for tasks of the job is carried out. */
  wasAdmitted = false;
  /** Monotonic time at which the request was read, in milliseconds. */
  readonly arrivedAtMs: number;

  private constructor(private readonly options: JobContextOptions) {
    const { clock, lengths, leaseTimes, route, request, deadlineMs, waitedMs } = options;
    this.arrivedAtMs = clock.nowMs();
    this.steps = request.steps.map((step) => ({
      ...step,
      estimatedMs: lengths.predictMs(route.routeId, this.runTimeHintsOf(step)),
    }));
    this.longestSteps = this.steps.map((step, index) => ({
      ...step,
      estimatedMs: this.predictLongestMs(step, index),
    }));
    this.objectiveMs = computeObjectiveMs(route, this.longestSteps);
    const maxDurationMs = giveUpAfterMs(this.objectiveMs);
    const { giveUpMs, runsEndMs } = deadlineTimesFor(deadlineMs, leaseTimes);
    const latestSentAtMs = this.arrivedAtMs - waitedMs;
    this.giveUpAtMs = Math.min(latestSentAtMs + giveUpMs, this.arrivedAtMs + maxDurationMs);
    this.runsEndAtMs = latestSentAtMs + runsEndMs;
  }

  static create(options: JobContextOptions): JobContext {
    return new JobContext(options);
  }

  get route(): Route {
    return this.options.route;
  }

  get request(): JobRequest {
    return this.options.request;
  }

  /** Whether a task may have run: a batch is open, or a worker was asked to start a task. */
  get mayHaveStarted(): boolean {
    return this.openBatches.size > 0 || this.wasOffered;
  }

  /** Latest expected end, in monotonic milliseconds, with which the job is still admitted. */
  get latestAdmissibleEndAtMs(): number {
    return this.objectiveAtMs + admissionToleranceMs(this.objectiveMs);
  }

  /**
   * Expected end, in monotonic milliseconds, with which the job meets its objective: plans expect that the longest
   * task of a step takes as long as a typical one.
   */
  get objectiveAtMs(): number {
    const spreadsMs = this.steps.map((_, index) => this.spreadMsOf(index));
    return this.arrivedAtMs + this.objectiveMs - Math.max(...spreadsMs);
  }

  /**
   * Computes the demand of each task of a step. Its time limits leave time for the steps after it.
   *
   * @param index - position of the step in the job
   */
  demandOf(index: number): TaskDemand {
    const step = this.stepAt(index);
    const laterMs = remainingAfterStepMs(this.longestSteps, index);
    const spreadMs = this.spreadMsOf(index);
    return {
      needs: step.needs,
      estimatedMs: step.estimatedMs,
      objectiveAtMs: this.arrivedAtMs + this.objectiveMs - laterMs - spreadMs,
      giveUpAtMs: this.giveUpAtMs - laterMs,
    };
  }

  /** @throws Error if the job has no step at this position */
  stepAt(index: number): JobStep {
    const step = this.steps[index];
    if (step === undefined) {
      throw new Error(`The job has no step ${index}.`);
    }
    return step;
  }

  /**
   * Feeds the run time of a finished task into the predictions for the job's route.
   *
   * @param index - position of the step in the job
   * @param runTimeMs - run time on a typical worker, in milliseconds
   */
  observeRunTime(index: number, runTimeMs: number): void {
    const declared = this.request.steps[index];
    if (declared === undefined) {
      return;
    }
    const { lengths } = this.options;
    const hints = this.runTimeHintsOf(declared);
    lengths.observe(this.route.routeId, hints, runTimeMs);
    const { taskCount = 0, longestMs = 0 } = this.observedSteps.get(index) ?? {};
    const observed = { taskCount: taskCount + 1, longestMs: Math.max(longestMs, runTimeMs) };
    this.observedSteps.set(index, observed);
    if (observed.taskCount === declared.taskCount) {
      lengths.observe(this.route.routeId, hints, observed.longestMs, 'longest');
    }
  }

  /** Predicts the run time of the longest task of a step, which is no shorter than that of a typical one. */
  private predictLongestMs({ estimatedMs }: JobStep, index: number): number {
    const declared = this.request.steps[index];
    const { lengths } = this.options;
    return declared === undefined
      ? estimatedMs
      : Math.max(
          estimatedMs,
          lengths.predictMs(this.route.routeId, this.runTimeHintsOf(declared), 'longest'),
        );
  }

  /** Time by which the longest task of a step is expected to run longer than a typical one, in milliseconds. */
  private spreadMsOf(index: number): number {
    return (this.longestSteps[index]?.estimatedMs ?? 0) - (this.steps[index]?.estimatedMs ?? 0);
  }

  private runTimeHintsOf({ estimatedMs }: JobStep): RunTimeHints {
    return { declaredMs: estimatedMs, deadlineMs: this.options.deadlineMs };
  }
}
