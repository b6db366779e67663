/**
 * A run of a task on a worker, from the order to start it until it can no longer be running.
 */
import { unreachable } from '../errors/unreachable.js';
import type { Resources } from '../types/resources.js';
import type { BatchedTask } from './openBatch.js';

/**
 * Phase of a run: start not yet confirmed, confirmed, stop ordered, or in doubt: its start was never answered, and
 * its leases are over, but a later lifetime of the worker may still carry the start out.
 */
export type RunPhase = 'starting' | 'running' | 'stopping' | 'in-doubt';

export interface ActiveRun {
  readonly task: BatchedTask;
  /** Name of the task on the worker. */
  readonly taskName: string;
  /** Number of the run; rises with each run of the task. */
  readonly run: number;
  /** Resources that the run occupies. */
  readonly needs: Resources;
  /** When the start was ordered, in monotonic time. */
  readonly startSentAtMs: number;
  /** Start of the worker's lifetime that was known when the start was ordered; undefined if none was. */
  readonly orderedInMs: number | undefined;
  /** Expected run time, in milliseconds. */
  readonly expectedMs: number;
  phase: RunPhase;
  /** When the worker first acknowledged the start or reported the run; undefined before. */
  startedAtMs: number | undefined;
  /** When the lifetime of the worker that has the run first acknowledged a stop; undefined before. */
  stopAcknowledgedAtMs: number | undefined;
  /** Start of the worker's lifetime in which the run is proved to have begun; undefined before that. */
  lifetimeMs: number | undefined;
  /** Until when an acknowledged lease certainly covers the run, and no stop may end it, in monotonic time. */
  coveredUntilMs: number;
  /** When a connection to the worker broke while the run was covered, if it has not listed the run since. */
  disconnectedAtMs: number | undefined;
}

/** The part of a run that is known before its start is ordered. */
export type RunPlan = Pick<ActiveRun, 'task' | 'taskName' | 'needs' | 'expectedMs'>;

/**
 * Creates the next run of a task, whose start is ordered now.
 *
 * @param plan - the run
 * @param nowMs - monotonic time
 * @param orderedInMs - start of the worker's lifetime that is known now
 */
export const createRun = (plan: RunPlan, nowMs: number, orderedInMs?: number): ActiveRun => {
  const { task } = plan;
  const run = task.nextRun;
  task.nextRun += 1;
  return {
    ...plan,
    run,
    startSentAtMs: nowMs,
    orderedInMs,
    phase: 'starting',
    startedAtMs: undefined,
    stopAcknowledgedAtMs: undefined,
    lifetimeMs: undefined,
    coveredUntilMs: -Infinity,
    disconnectedAtMs: undefined,
  };
};

/** Records that a connection to the worker of some runs has broken, for those that an acknowledged lease covers. */
export const recordDisconnection = (runs: readonly ActiveRun[], nowMs: number): void =>
  runs
    .filter(({ coveredUntilMs }) => nowMs <= coveredUntilMs)
    .forEach((run) => (run.disconnectedAtMs ??= nowMs));

/** Records until when a lease covers a run that its worker has acknowledged, unless a stop may end it before. */
export const recordCover = (run: ActiveRun, coveredUntilMs: number): void => {
  if (!isEnding(run)) {
    run.coveredUntilMs = Math.max(run.coveredUntilMs, coveredUntilMs);
  }
};

/** Whether the end of a run is waited for, so that no lease is to cover it. */
export const isEnding = ({ phase }: ActiveRun): boolean => {
  switch (phase) {
    case 'starting':
    case 'running':
      return false;
    case 'stopping':
    case 'in-doubt':
      return true;
    default:
      return unreachable(phase);
  }
};

/**
 * Records that the leases of a run are over whose start was never answered.
 *
 * @returns whether this was not known before
 */
export const recordDoubt = (run: ActiveRun): boolean => {
  const isNews = run.phase !== 'in-doubt';
  run.phase = 'in-doubt';
  return isNews;
};

/** Records that a run is being stopped: from now on it may end before its lease does. */
export const recordStopOrder = (run: ActiveRun, nowMs: number): void => {
  run.phase = 'stopping';
  run.coveredUntilMs = Math.min(run.coveredUntilMs, nowMs);
};

/**
 * Records that the worker has a run.
 *
 * @returns whether this was not known before
 */
export const recordStart = (run: ActiveRun, nowMs: number): boolean => {
  const isNews = run.startedAtMs === undefined;
  run.startedAtMs ??= nowMs;
  run.phase = phaseOnceStarted(run.phase);
  return isNews;
};

const phaseOnceStarted = (phase: RunPhase): RunPhase => {
  switch (phase) {
    case 'starting':
    case 'running':
      return 'running';
    case 'stopping':
    case 'in-doubt':
      return 'stopping';
    default:
      return unreachable(phase);
  }
};
