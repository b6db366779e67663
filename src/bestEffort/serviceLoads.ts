/**
 * Sums the load of one service up from load reports.
 */
import type { MemberLoad } from '../types/fleet.js';
import type { ServiceLoad } from '../types/serviceLoad.js';
import type { WorkerRecord } from '../types/workers.js';

/** The load of a dispatcher that counts in a sum. */
export interface CountedReport {
  readonly load: MemberLoad;
  /** Cores of tasks that were sent there since, in thousandths, by worker. */
  readonly reservations: readonly { readonly workerId: string; readonly cpuMillis: number }[];
}

/**
 * Sums the load of a service up. Workers that accept no tasks, are not listed or are of another service do not count.
 *
 * @param serviceId - the service
 * @param reports - the reports of the dispatchers
 * @param findWorker - returns the directory entry of a worker, if it is listed
 * @param taskCpuMillis - cores count as free only in whole tasks of this size: on loaded workers, much of what is free is
 *   in pieces in which no task fits
 */
export const sumServiceLoad = (
  serviceId: string,
  reports: readonly CountedReport[],
  findWorker: (workerId: string) => WorkerRecord | undefined,
  taskCpuMillis = 1,
): ServiceLoad => {
  let freeCpuMillis = 0;
  let capacityCpuMillis = 0;
  for (const { load, reservations } of reports) {
    const reservedCpuMillis = sumByWorker(reservations);
    for (const { workerId, free, isOpen } of load.workers) {
      const record = findWorker(workerId);
      if (!isOpen || record?.serviceId !== serviceId) {
        continue;
      }
      const unreserved = Math.max(free.cpuMillis - (reservedCpuMillis.get(workerId) ?? 0), 0);
      freeCpuMillis += Math.floor(unreserved / taskCpuMillis) * taskCpuMillis;
      capacityCpuMillis += record.capacity.cpuMillis;
    }
  }
  return { freeCpuMillis, capacityCpuMillis };
};

const sumByWorker = (reservations: CountedReport['reservations']): ReadonlyMap<string, number> => {
  const sums = new Map<string, number>();
  for (const { workerId, cpuMillis } of reservations) {
    sums.set(workerId, (sums.get(workerId) ?? 0) + cpuMillis);
  }
  return sums;
};
