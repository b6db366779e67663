/**
 * Composes the request to a dispatcher for tasks of a step, with the times that bind the dispatcher.
 */
import type { Batch, BatchTask } from '../types/dispatch.js';
import type { JobContext } from './jobContext.js';
import type { StepPlan } from './stepPlanner.js';

/** From this reassignment on, dispatchers do not return tasks for lack of free capacity. */
const maxReturnsForCapacity = 2;
/** A dispatcher returns a task that has to wait this much longer than planned, in milliseconds. */
const waitToleranceMs = 20;
/** Longer than any task waits: the dispatcher then never returns a task because of its wait. */
const unlimitedWaitMs = 60_000;

/** Tasks of one step of a job that one dispatcher is to run. */
export interface BatchContent {
  readonly batchId: string;
  readonly job: JobContext;
  /** Position of the step in the job. */
  readonly stepIndex: number;
  readonly tasks: readonly BatchTask[];
  readonly plan: Pick<StepPlan, 'startsNow' | 'longestWaitMs'>;
  /** How often the tasks were returned so far. */
  readonly reassignments: number;
}

/**
 * Composes the request to a dispatcher, with times relative to now. If the job has not started and
 * no task can start at once, the batch expires when the job could no longer be admitted.
 *
 * @param content - the tasks, and what was planned for them
 * @param nowMs - monotonic time
 */
export const composeBatch = (
  { batchId, job, stepIndex, tasks, plan, reassignments }: BatchContent,
  nowMs: number,
): Batch => {
  const { route, request } = job;
  const { needs, estimatedMs, objectiveAtMs, giveUpAtMs } = job.demandOf(stepIndex);
  const isOffered = plan.startsNow || job.wasOffered;
  const mayReturn = reassignments < maxReturnsForCapacity;
  return {
    batchId,
    jobId: request.jobId,
    stepIndex,
    serviceId: route.serviceId,
    spec: request.spec,
    needs,
    estimatedMs: Math.max(Math.round(estimatedMs), 1),
    objectiveInMs: Math.round(objectiveAtMs - nowMs),
    giveUpInMs: Math.round(giveUpAtMs - nowMs),
    expiresInMs: Math.round((isOffered ? giveUpAtMs : job.latestAdmissibleEndAtMs) - nowMs),
    runsEndInMs: Math.round(job.runsEndAtMs - nowMs),
    maxWaitMs: mayReturn ? Math.round(plan.longestWaitMs) + waitToleranceMs : unlimitedWaitMs,
    priority: route.priority,
    maxFailedRuns: route.maxFailedRuns,
    tasks: [...tasks],
  };
};
