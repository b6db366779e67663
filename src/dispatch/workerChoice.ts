/**
 * Chooses the worker for a task, among those that a daemon dispatches to or that the fleet tells of.
 */
import { fitsInto } from '../types/resources.js';
import type { Resources } from '../types/resources.js';
import type { PlacementNeeds } from '../types/dispatch.js';

/** Work is declared to take this long, and should end by a time. */
export interface TaskDemand {
  readonly needs: PlacementNeeds;
  readonly estimatedMs: number;
  readonly objectiveAtMs: number;
  readonly giveUpAtMs: number;
}

/** A worker as a candidate for a task. */
export interface Candidate {
  readonly workerId: string;
  readonly labels: readonly string[];
  readonly free: Resources;
  /** Time until there is room for the task, in milliseconds. */
  readonly startsInMs: number;
  readonly slowness: number;
  /** Time in which a task reaches the worker from here, in milliseconds. */
  readonly distanceMs: number;
  /** Cost of the messages to its dispatcher, against a wait in milliseconds. */
  readonly reachCost: number;
}

/** A candidate with what a task would get there. */
export interface RatedCandidate<C extends Candidate> {
  readonly candidate: C;
  readonly expectedMs: number;
  readonly cost: number;
}

/** Declared run times are off by about this much; a slow worker is used only with this margin. */
const runTimeMargin = 1.3;
const lateCost = 1_000;
const tightCost = 100;
/** A worker that a short task can bear is left to it, so that fast ones are free for long tasks. */
const slownessCost = 20;
/** Cost of a free core that is left over and too little for another task. */
const leftoverCoreCost = 0.5;
/** Spread by which daemons that see the same room do not all choose the same worker. */
const spreadCost = 6;

/**
 * Tells how long a task is expected to run on a worker, in milliseconds.
 *
 * @param demand - the task
 * @param candidate - the worker
 * @param farRackFactor - how many times longer it takes away from the rack of its data
 */
export const expectedRunMs = (
  { estimatedMs, needs }: TaskDemand,
  { slowness, labels }: Pick<Candidate, 'slowness' | 'labels'>,
  farRackFactor: number,
): number => {
  const isFar = needs.preferredRack !== undefined && !labels.includes(needs.preferredRack);
  return estimatedMs * slowness * (isFar ? farRackFactor : 1);
};

/** Tells whether a worker has the label that a task needs. */
export const hasRequiredLabel = (
  { requiredLabel }: PlacementNeeds,
  labels: readonly string[],
): boolean => requiredLabel === undefined || labels.includes(requiredLabel);

/**
 * Chooses among workers with room now or later. A worker on which the task would be late is taken only when no
 * other can have it in time any more.
 *
 * @param demand - the task
 * @param candidates - workers that get tasks now
 * @param context - the time, how far racks count, and a number between 0 and 1
 * @returns the best, or nothing if it is better to wait
 */
export const chooseWorker = <C extends Candidate>(
  demand: TaskDemand,
  candidates: readonly C[],
  context: {
    readonly nowMs: number;
    readonly farRackFactor: number;
    readonly random: () => number;
  },
): RatedCandidate<C> | undefined => {
  let best: RatedCandidate<C> | undefined;
  for (const candidate of candidates) {
    const { needs } = demand;
    const hasRoom = candidate.startsInMs > 0 || fitsInto(needs.resources, candidate.free);
    if (!hasRoom || !hasRequiredLabel(needs, candidate.labels)) {
      continue;
    }
    const expectedMs = expectedRunMs(demand, candidate, context.farRackFactor);
    if (context.nowMs + delayMs(candidate) + expectedMs > demand.giveUpAtMs) {
      continue;
    }
    const cost =
      costOf(demand, candidate, expectedMs, context.nowMs) + context.random() * spreadCost;
    if (best === undefined || cost < best.cost) {
      best = { candidate, expectedMs, cost };
    }
  }
  return best;
};

const costOf = (
  demand: TaskDemand,
  candidate: Candidate,
  expectedMs: number,
  nowMs: number,
): number => {
  const leftMs = demand.objectiveAtMs - nowMs - delayMs(candidate);
  const leftover = Math.max(candidate.free.cpuMillis - demand.needs.resources.cpuMillis, 0);
  const shared = candidate.reachCost + candidate.startsInMs + (leftover / 1_000) * leftoverCoreCost;
  if (expectedMs > leftMs) {
    return lateCost + expectedMs + shared;
  }
  if (expectedMs * runTimeMargin > leftMs) {
    return tightCost + shared;
  }
  return shared - candidate.slowness * slownessCost;
};

/** Tells whether a choice would end after the objective. */
export const isLate = (
  { objectiveAtMs }: TaskDemand,
  { expectedMs, candidate }: RatedCandidate<Candidate>,
  nowMs: number,
): boolean => nowMs + delayMs(candidate) + expectedMs > objectiveAtMs;

/** Time until a task runs on a worker: it travels while it waits for room. */
const delayMs = ({ distanceMs, startsInMs }: Candidate): number => Math.max(distanceMs, startsInMs);
