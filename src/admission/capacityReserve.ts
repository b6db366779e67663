/**
 * Capacity that jobs leave free for the more urgent routes of their service, in proportion to the recent demand.
 */
import type { RouteDemand } from './recentDemand.js';

/**
 * Part of the capacity that the more urgent routes would have by their share of the demand, and that is kept free for
 * their next jobs; the rest of that share is in use by the jobs that run.
 */
const reserveFactor = 0.1;

/** What jobs of a priority leave free. */
export interface CapacityReserve {
  /** Share of the capacity. */
  readonly share: number;
  /** Cores that a typical task of the more urgent routes needs, in thousandths. */
  readonly taskCpuMillis: number;
}

/**
 * Computes the share of the capacity that jobs of a priority leave free.
 *
 * @param demands - recent demand of the routes of the service
 * @param priority - of the job
 * @returns nothing where no more urgent route had jobs lately, so that nothing is reserved
 */
export const reserveFor = (
  demands: readonly RouteDemand[],
  priority: number,
): CapacityReserve | undefined => {
  const urgent = demands.filter((demand) => demand.priority < priority);
  const urgentCoreMs = sumOf(urgent, ({ askedCoreMs }) => askedCoreMs);
  const taskMs = sumOf(urgent, ({ askedTaskMs }) => askedTaskMs);
  if (urgentCoreMs <= 0 || taskMs <= 0) {
    return undefined;
  }
  const askedCoreMs = sumOf(demands, (demand) => demand.askedCoreMs);
  return {
    share: (reserveFactor * urgentCoreMs) / askedCoreMs,
    taskCpuMillis: Math.max(Math.round((1_000 * urgentCoreMs) / taskMs), 1),
  };
};

const sumOf = (demands: readonly RouteDemand[], valueOf: (demand: RouteDemand) => number): number =>
  demands.reduce((sum, demand) => sum + valueOf(demand), 0);
