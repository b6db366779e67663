/**
 * The load of a service in this failure domain, summed up from the workers in the fleet view. Waiting work is unknown.
 */
import type { FleetView, WorkerSnapshot } from '../bestEffort/fleetView.js';
import type { Clock } from '../ports/clock.js';
import type { ServiceLoad } from '../types/serviceLoad.js';

/** Time for which a sum is used again, in milliseconds: jobs that wait are looked at about as often. */
const sumRetentionMs = 10;

/** A sum is used again for tasks whose size differs by at most this share: the typical size moves with each job. */
const sizeTolerance = 0.05;

/**
 * Tells the load of a service. Cores count as free only in whole tasks of a size: on loaded workers, much of what is free
 * is in pieces in which no task fits.
 */
export type ServiceLoadOf = (serviceId: string, taskCpuMillis: number) => ServiceLoad;

/** Sums up the workers of a service that accept tasks. */
export const sumUpWorkers = (
  workers: readonly Pick<WorkerSnapshot, 'availability' | 'capacity' | 'reportedAtMs'>[],
  taskCpuMillis: number,
  nowMs: number,
): ServiceLoad => {
  let freeCpuMillis = 0;
  let capacityCpuMillis = 0;
  let oldestReportAgeMs = 0;
  for (const { availability, capacity, reportedAtMs } of workers) {
    const tasks = Math.max(Math.floor(availability.free / taskCpuMillis), 0);
    freeCpuMillis += tasks * taskCpuMillis;
    capacityCpuMillis += capacity.cpuMillis;
    oldestReportAgeMs = Math.max(oldestReportAgeMs, nowMs - reportedAtMs);
  }
  return { freeCpuMillis, capacityCpuMillis, waiting: [], oldestReportAgeMs };
};

interface KeptSum {
  readonly load: ServiceLoad;
  readonly taskCpuMillis: number;
  readonly atMs: number;
}

const isUsable = (sum: KeptSum, taskCpuMillis: number, nowMs: number): boolean =>
  nowMs - sum.atMs < sumRetentionMs &&
  Math.abs(sum.taskCpuMillis - taskCpuMillis) <= sizeTolerance * taskCpuMillis;

/** Creates a function that sums up what a view has of this failure domain, and keeps each sum for a moment. */
export const createServiceLoadOf = (
  clock: Clock,
  view: Pick<FleetView, 'workers'>,
): ServiceLoadOf => {
  const sums = new Map<string, KeptSum>();
  return (serviceId, taskCpuMillis) => {
    const nowMs = clock.nowMs();
    const known = sums.get(serviceId);
    if (known !== undefined && isUsable(known, taskCpuMillis, nowMs)) {
      return known.load;
    }
    const load = sumUpWorkers(view.workers(serviceId, 'own-domain', 0), taskCpuMillis, nowMs);
    sums.set(serviceId, { load, taskCpuMillis, atMs: nowMs });
    return load;
  };
};
