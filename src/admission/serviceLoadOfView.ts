/**
 * The load of a service in this failure domain, as the fleet view has it.
 */
import type { FleetView } from '../bestEffort/fleetView.js';
import type { Clock } from '../ports/clock.js';
import type { ServiceLoad } from '../types/serviceLoad.js';

/** Time for which a sum is used again, in milliseconds: jobs that wait are looked at about as often. */
const sumRetentionMs = 10;

/** Tells the load of a service. Cores count as free only in whole tasks of a size. */
export type ServiceLoadOf = (serviceId: string, taskCpuMillis: number) => ServiceLoad;

/** A sum, the size of task that it was made for, and when. */
interface KnownSum {
  readonly load: ServiceLoad;
  readonly taskCpuMillis: number;
  readonly atMs: number;
}

/** Creates a function that asks a view, and keeps each sum for a moment. */
export const createServiceLoadOf = (
  clock: Clock,
  view: Pick<FleetView, 'serviceLoad'>,
): ServiceLoadOf => {
  const sums = new Map<string, KnownSum>();
  return (serviceId, taskCpuMillis) => {
    const nowMs = clock.nowMs();
    const known = sums.get(serviceId);
    const isRecent = known !== undefined && nowMs - known.atMs < sumRetentionMs;
    if (isRecent && known.taskCpuMillis === taskCpuMillis) {
      return known.load;
    }
    const load = view.serviceLoad(serviceId, taskCpuMillis);
    sums.set(serviceId, { load, taskCpuMillis, atMs: nowMs });
    return load;
  };
};
