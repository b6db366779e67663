/**
 * A worker as a plan sees it: its free capacity by the last report of its dispatcher, less what was sent there since.
 */
import { CapacityProfile } from '../dispatch/capacityProfile.js';
import type { Candidate } from '../dispatch/workerChoice.js';
import type { WorkerLoad } from '../types/fleet.js';
import { hasEnough } from '../types/resources.js';
import type { Resources } from '../types/resources.js';
import type { WorkerRecord } from '../types/workers.js';

/** Whether a dispatcher is this daemon itself, in the same failure domain, or in another one. */
export type Locality = 'own' | 'near' | 'far';

/** Time that a batch is assumed to take to a dispatcher, in milliseconds. */
const deliveryTimesMs: Readonly<Record<Locality, number>> = { own: 0, near: 1, far: 4 };

/** A dispatcher's worker with its estimated free capacity. */
export interface WorkerSnapshot extends Omit<Candidate, 'startsInMs' | 'messageCost'> {
  /** Incarnation of the daemon that dispatches to it. */
  readonly dispatcherId: string;
  readonly locality: Locality;
  /** When the dispatcher's load was received, in milliseconds on this process's monotonic clock. */
  readonly reportedAtMs: number;
  /** Everything that the worker has, whether free or not. */
  readonly capacity: Resources;
  /** Free cores now and later, less the reservations. */
  readonly availability: CapacityProfile;
}

/** The report that a snapshot is taken from. */
export interface SnapshotSource {
  readonly dispatcherId: string;
  readonly locality: Locality;
  readonly receivedAtMs: number;
  /** Tasks that were sent to the dispatcher since. */
  readonly reservations: readonly {
    readonly workerId: string;
    readonly cpuMillis: number;
    readonly runMs: number;
  }[];
}

/**
 * Takes the snapshot of a worker.
 *
 * @param source - the report of its dispatcher
 * @param load - the worker in this report
 * @param record - its directory entry, if it is listed
 * @param serviceId - service of the tasks
 * @returns nothing if the worker accepts no tasks, is not listed or is of another service
 */
export const toSnapshot = (
  { dispatcherId, locality, reservations, receivedAtMs }: SnapshotSource,
  { workerId, free, slowness, isOpen, releases }: WorkerLoad,
  record: WorkerRecord | undefined,
  serviceId: string,
): WorkerSnapshot | undefined => {
  if (!isOpen || record?.serviceId !== serviceId) {
    return undefined;
  }
  const availability = CapacityProfile.create(free.cpuMillis, releases);
  for (const reserved of reservations) {
    if (reserved.workerId === workerId) {
      availability.reserve(reserved.cpuMillis, reserved.runMs);
    }
  }
  const { labels, capacity } = record;
  return {
    dispatcherId,
    reportedAtMs: receivedAtMs,
    workerId,
    labels,
    capacity,
    free,
    availability,
    slowness,
    locality,
    deliveryMs: deliveryTimesMs[locality],
  };
};

/**
 * Estimates when a worker has free capacity for a task. Only cores are predicted: while memory or
 * accelerators are missing, the result is at least 1.
 *
 * @param worker - the worker, as its dispatcher reported it
 * @param needs - resources that the task uses
 * @returns time from now in milliseconds, 0 if it fits now, infinite if it never fits
 */
export const timeUntilFreeMs = (
  { capacity, free, availability }: WorkerSnapshot,
  needs: Resources,
): number => {
  if (!hasEnough(needs, capacity)) {
    return Infinity;
  }
  const startsInMs = availability.startsInMs(needs.cpuMillis);
  const isFreeNow = startsInMs === 0 && hasEnough({ ...needs, cpuMillis: 0 }, free);
  return isFreeNow ? 0 : Math.max(startsInMs, 1);
};
