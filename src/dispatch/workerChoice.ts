/**
 * Chooses the worker for a task: among the workers of this daemon, or among those that all daemons
 * of the fleet report.
 */
import { hasEnough } from '../types/resources.js';
import type { Resources } from '../types/resources.js';
import type { PlacementNeeds } from '../types/dispatch.js';

/** What a task requires of its worker. */
export interface TaskDemand {
  readonly needs: PlacementNeeds;
  /** Expected run time on a typical worker, in milliseconds. */
  readonly estimatedMs: number;
  /** When the task should have ended, in monotonic time. */
  readonly objectiveAtMs: number;
  /** When its result becomes worthless, in monotonic time. */
  readonly giveUpAtMs: number;
}

/** A worker as a candidate for a task. */
export interface Candidate {
  readonly workerId: string;
  readonly labels: readonly string[];
  /** Resources that are free now. */
  readonly free: Resources;
  /** Time until the worker has free capacity for the task, in milliseconds. */
  readonly startsInMs: number;
  /** Slowdown factor: run time on the worker over that on a typical worker. */
  readonly slowness: number;
  /** Time until a task that is sent from here reaches the worker, in milliseconds. */
  readonly deliveryMs: number;
  /** Cost of the messages to its dispatcher; one unit counts like one millisecond of waiting. */
  readonly messageCost: number;
}

/** A candidate with the expected run time of the task and the cost of choosing it. */
export interface RatedCandidate<C extends Candidate> {
  readonly candidate: C;
  /** Expected run time there, in milliseconds. */
  readonly expectedMs: number;
  readonly cost: number;
}

/** Estimated run times are off by about this factor; less time than that counts as tight. */
const runTimeMargin = 1.3;
/** Cost of a worker on which the task would miss its objective. */
const lateCost = 1_000;
/** Cost of a worker on which the task would meet its objective without the margin. */
const tightCost = 100;
/**
 * Cost reduction per unit of the slowdown factor, for tasks that meet their objective with the
 * margin: they use slow workers, so that fast ones stay free for tasks with less time.
 */
const slownessCredit = 20;
/** Cost of each core that stays free, since these may be too few for another task. */
const leftoverCoreCost = 0.5;
/** Range of a random cost, so that daemons with the same view do not all choose the same worker. */
const maxRandomCost = 6;

/**
 * Estimates the run time of a task on a worker.
 *
 * @param demand - the task
 * @param candidate - the worker
 * @param farRackFactor - factor on the run time of a task that runs outside the rack of its data
 * @returns expected run time, in milliseconds
 */
export const expectedRunMs = (
  { estimatedMs, needs }: TaskDemand,
  { slowness, labels }: Pick<Candidate, 'slowness' | 'labels'>,
  farRackFactor: number,
): number => {
  const isFar = needs.preferredRack !== undefined && !labels.includes(needs.preferredRack);
  return estimatedMs * slowness * (isFar ? farRackFactor : 1);
};

/** Returns whether a worker has the label that a task requires; true if it requires none. */
export const hasRequiredLabel = (
  { requiredLabel }: PlacementNeeds,
  labels: readonly string[],
): boolean => requiredLabel === undefined || labels.includes(requiredLabel);

/**
 * Chooses the worker with the lowest cost among those that have free capacity now or later and can
 * end the task before it is given up. A worker on which the task would miss its objective is chosen
 * only if there is no other.
 *
 * @param demand - the task
 * @param candidates - workers that accept tasks now
 * @param context - the monotonic time, the run-time factor of a far rack, and a source of random
 *   numbers from 0 to 1
 * @returns the chosen worker, or undefined if none qualifies
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
    const hasCapacity = candidate.startsInMs > 0 || hasEnough(needs.resources, candidate.free);
    if (!hasCapacity || !hasRequiredLabel(needs, candidate.labels)) {
      continue;
    }
    const expectedMs = expectedRunMs(demand, candidate, context.farRackFactor);
    if (context.nowMs + startDelayMs(candidate) + expectedMs > demand.giveUpAtMs) {
      continue;
    }
    const cost =
      placementCost(demand, candidate, expectedMs, context.nowMs) +
      context.random() * maxRandomCost;
    if (best === undefined || cost < best.cost) {
      best = { candidate, expectedMs, cost };
    }
  }
  return best;
};

/** Cost of choosing a worker, the random part excluded. */
const placementCost = (
  demand: TaskDemand,
  candidate: Candidate,
  expectedMs: number,
  nowMs: number,
): number => {
  const timeLeftMs = demand.objectiveAtMs - nowMs - startDelayMs(candidate);
  const leftover = Math.max(candidate.free.cpuMillis - demand.needs.resources.cpuMillis, 0);
  const baseCost =
    candidate.messageCost + candidate.startsInMs + (leftover / 1_000) * leftoverCoreCost;
  if (expectedMs > timeLeftMs) {
    return lateCost + expectedMs + baseCost;
  }
  if (expectedMs * runTimeMargin > timeLeftMs) {
    return tightCost + baseCost;
  }
  return baseCost - candidate.slowness * slownessCredit;
};

/** Returns whether a task would end on the chosen worker after its objective. */
export const missesObjective = (
  { objectiveAtMs }: TaskDemand,
  { expectedMs, candidate }: RatedCandidate<Candidate>,
  nowMs: number,
): boolean => nowMs + startDelayMs(candidate) + expectedMs > objectiveAtMs;

/** Time until a task starts on a worker: it is delivered while it waits for free capacity. */
const startDelayMs = ({ deliveryMs, startsInMs }: Candidate): number =>
  Math.max(deliveryMs, startsInMs);
