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

/** Creates a function that asks a view, and keeps each sum for a moment. */
export const createServiceLoadOf = (
  clock: Clock,
  view: Pick<FleetView, 'serviceLoad'>,
): ServiceLoadOf => {
  const sums = new Map<string, { readonly load: ServiceLoad; readonly atMs: number }>();
  return (serviceId, taskCpuMillis) => {
    const nowMs = clock.nowMs();
    const known = sums.get(serviceId);
    if (known !== undefined && nowMs - known.atMs < sumRetentionMs) {
      return known.load;
    }
    const load = view.serviceLoad(serviceId, taskCpuMillis);
    sums.set(serviceId, { load, atMs: nowMs });
    return load;
  };
};
