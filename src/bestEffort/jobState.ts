/**
 * What the steps of one running job share: its times, and what of it is with dispatchers.
 */
import type { TaskDemand } from '../dispatch/workerChoice.js';
import type { Clock } from '../ports/clock.js';
import type { JobRequest, JobStep } from '../ports/jobs.js';
import type { Route } from '../types/routing.js';
import {
  admissionAllowanceMs,
  objectiveMs,
  timeAfterStepMs,
  worthlessAfterMs,
} from './objective.js';
import type { LengthHints, RunLengths } from './runLengths.js';

/** A batch that a dispatcher has. */
export interface SentBatch {
  readonly dispatcherId: string;
  readonly batchId: string;
}

export interface JobStateOptions {
  readonly clock: Clock;
  readonly lengths: RunLengths;
  readonly route: Route;
  readonly request: JobRequest;
  /** How long the caller waits, in milliseconds. */
  readonly deadlineMs: number;
}

export class JobState {
  /** Batches that dispatchers have. */
  readonly open = new Set<SentBatch>();
  /** The steps with the run times that are expected of their tasks. */
  readonly steps: readonly JobStep[];
  /** Time within which the job should end, from its arrival, in milliseconds. */
  readonly objectiveMs: number;
  readonly giveUpAtMs: number;
  /** Whether a worker may have been asked to start a task. */
  wasOffered = false;
  isEnded = false;
  private readonly arrivedAtMs: number;

  private constructor(private readonly options: JobStateOptions) {
    const { clock, lengths, route, request, deadlineMs } = options;
    this.arrivedAtMs = clock.nowMs();
    this.steps = request.steps.map((step) => ({
      ...step,
      estimatedMs: lengths.predictMs(route.routeId, this.hintsOf(step)),
    }));
    this.objectiveMs = objectiveMs(route, this.steps);
    const worthlessMs = worthlessAfterMs(this.objectiveMs);
    this.giveUpAtMs = this.arrivedAtMs + Math.min(deadlineMs, worthlessMs);
  }

  static create(options: JobStateOptions): JobState {
    return new JobState(options);
  }

  get route(): Route {
    return this.options.route;
  }

  get request(): JobRequest {
    return this.options.request;
  }

  /** Tells whether a dispatcher may have started something. */
  get hasStarted(): boolean {
    return this.open.size > 0 || this.wasOffered;
  }

  /** Time by which the job is expected to end at the latest, to be taken at all. */
  get admissibleEndAtMs(): number {
    return this.arrivedAtMs + this.objectiveMs + admissionAllowanceMs(this.objectiveMs);
  }

  /** @returns what each task of a step asks for */
  demandOf(index: number): TaskDemand {
    const step = this.stepAt(index);
    const laterMs = timeAfterStepMs(this.steps, index);
    return {
      needs: step.needs,
      estimatedMs: step.estimatedMs,
      objectiveAtMs: this.arrivedAtMs + this.objectiveMs - laterMs,
      giveUpAtMs: this.giveUpAtMs - laterMs,
    };
  }

  stepAt(index: number): JobStep {
    const step = this.steps[index];
    if (step === undefined) {
      throw new Error(`The job has no step ${index}.`);
    }
    return step;
  }

  /** Learns the length of the route's tasks from one that was done. */
  learn(index: number, lengthMs: number): void {
    const declared = this.request.steps[index];
    if (declared !== undefined) {
      this.options.lengths.observe(this.route.routeId, this.hintsOf(declared), lengthMs);
    }
  }

  private hintsOf({ estimatedMs }: JobStep): LengthHints {
    return { declaredMs: estimatedMs, deadlineMs: this.options.deadlineMs };
  }
}
