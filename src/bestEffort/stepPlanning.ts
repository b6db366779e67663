/**
 * What StepRun asks to be placed, and what comes of an attempt to plan it.
 */
import { refusalReasons } from '../admission/admissionDecision.js';
import type { AdmissionDecision } from '../admission/admissionDecision.js';
import { unreachable } from '../errors/unreachable.js';
import type { BatchTask, TaskEnd } from '../types/dispatch.js';
import type { StepEnd } from './stepEnd.js';
import type { StepPlan } from './stepPlanner.js';

/** Tasks to be sent to dispatchers, with the outcome of earlier attempts. */
export interface PlacementRequest {
  readonly tasks: readonly BatchTask[];
  /** Dispatchers that returned the tasks. */
  readonly excludedDispatcherIds: ReadonlySet<string>;
  /** How often the tasks were returned so far. */
  readonly reassignments: number;
}

/** What comes of an attempt to plan tasks. `later`: not now, tried again after a pause. */
export type Planning =
  | { readonly kind: 'planned'; readonly plan: StepPlan }
  | { readonly kind: 'later'; readonly pauseMs: number }
  | Extract<StepEnd, { kind: 'refused' }>;

/** @returns what becomes of tasks whose job is not admitted now, or nothing if it is admitted */
export const toPlanning = (decision: AdmissionDecision): Planning | undefined => {
  switch (decision.kind) {
    case 'admit':
      return undefined;
    case 'wait':
      return { kind: 'later', pauseMs: decision.waitMs };
    case 'refuse':
      return {
        ...{ kind: 'refused', reason: refusalReasons[decision.cause] },
        waitMs: decision.lateMs,
      };
    default:
      return unreachable(decision);
  }
};

/** Finds the tasks that expired, as they were sent. */
export const findExpired = (ends: readonly TaskEnd[], { tasks }: PlacementRequest): BatchTask[] => {
  const indexes = new Set(ends.flatMap((end) => (end.kind === 'expired' ? [end.index] : [])));
  return tasks.filter(({ index }) => indexes.has(index));
};
