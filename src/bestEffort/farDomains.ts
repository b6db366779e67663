/**
 * Which other failure domains have free capacity for a task, so that a plan need not look at the workers of the others.
 */
import type { KnownRoom } from '../fleet/domainRooms.js';
import type { WorkerRecord } from '../types/workers.js';
import type { CountedReport } from './serviceLoads.js';

export interface FarDomainsOptions {
  /** Reports of the dispatchers of other failure domains that have not expired. */
  readonly reports: readonly CountedReport[];
  readonly findWorker: (workerId: string) => WorkerRecord | undefined;
  /** Returns what is known of a service in another failure domain. */
  readonly findRoom: (failureDomainId: string) => KnownRoom;
}

/** What dispatchers of a failure domain have reported themselves. */
interface DirectRoom {
  readonly freeCpuMillis: number;
  /** Age of the newest report of a worker with enough free cores for a task; infinite if there is none. */
  readonly fitsAgeMs: number;
}

/**
 * Lists the failure domains with a worker that can start a task now, those with the most free cores first. A
 * dispatcher's own report counts if it is newer than the sum of its domain. A domain of which neither is known counts
 * as one without free capacity.
 *
 * @param serviceId - service of the task
 * @param cpuMillis - cores that the task needs, in thousandths
 */
export const listFarDomainsWithRoom = (
  serviceId: string,
  cpuMillis: number,
  options: FarDomainsOptions,
): string[] => {
  const rated = [...sumDirectRooms(serviceId, cpuMillis, options)].flatMap(
    ([failureDomainId, { freeCpuMillis, fitsAgeMs }]) => {
      const known = options.findRoom(failureDomainId);
      if (known.kind === 'unknown') {
        return fitsAgeMs < Infinity ? [{ failureDomainId, freeCpuMillis }] : [];
      }
      const { room } = known;
      const hasRoom = room.freeCpuMillis >= cpuMillis || fitsAgeMs < room.ageMs;
      return hasRoom
        ? [{ failureDomainId, freeCpuMillis: Math.max(freeCpuMillis, room.freeCpuMillis) }]
        : [];
    },
  );
  return rated
    .sort((a, b) => b.freeCpuMillis - a.freeCpuMillis)
    .map(({ failureDomainId }) => failureDomainId);
};

const sumDirectRooms = (
  serviceId: string,
  cpuMillis: number,
  { reports, findWorker }: FarDomainsOptions,
): ReadonlyMap<string, DirectRoom> => {
  const rooms = new Map<string, DirectRoom>();
  for (const { load, ageMs } of reports) {
    for (const { workerId, free, isOpen } of load.workers) {
      const record = findWorker(workerId);
      if (!isOpen || record?.serviceId !== serviceId) {
        continue;
      }
      const sum = rooms.get(record.failureDomainId) ?? { freeCpuMillis: 0, fitsAgeMs: Infinity };
      rooms.set(record.failureDomainId, {
        freeCpuMillis: sum.freeCpuMillis + Math.max(free.cpuMillis, 0),
        fitsAgeMs: free.cpuMillis >= cpuMillis ? Math.min(sum.fitsAgeMs, ageMs) : sum.fitsAgeMs,
      });
    }
  }
  return rooms;
};
