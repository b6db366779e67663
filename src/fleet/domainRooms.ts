/**
 * The free capacity of each failure domain and service, as daemons of different failure domains tell each other: each
 * states the sum of its own domain, and passes on what it has heard of other ones, with its age. There is one entry for
 * each domain and service, however many daemons there are.
 */
import type { Clock } from '../ports/clock.js';
import { domainRoomSchema } from '../types/domainRooms.js';
import type { DomainRoom } from '../types/domainRooms.js';
import type { ServiceLoad } from '../types/serviceLoad.js';

/** Age from which an entry counts as unknown, in milliseconds: two heartbeats of domains that share no batches. */
export const maxRoomAgeMs = 1_500;
/** Entries that are kept; further domains and services are ignored. */
const maxKeptRooms = 1_024;

/** A sum, and when it was right, on this process's monotonic clock. */
interface TimedRoom {
  readonly room: Omit<DomainRoom, 'ageMs'>;
  readonly atMs: number;
}

/** What a daemon knows of a service in another failure domain. */
export type KnownRoom =
  { readonly kind: 'known'; readonly room: DomainRoom } | { readonly kind: 'unknown' };

export interface ReceivedRooms {
  /** Entries of a heartbeat, which are not checked yet. */
  readonly entries: readonly unknown[];
  /** Age of the heartbeat, in milliseconds. */
  readonly ageMs: number;
  /** Failure domain of the receiver, which knows better. */
  readonly ownDomainId: string;
  readonly isKnownService: (serviceId: string) => boolean;
}

export class DomainRooms {
  private readonly rooms = new Map<string, TimedRoom>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): DomainRooms {
    return new DomainRooms(clock);
  }

  /**
   * Records the entries of a heartbeat. Of two entries for one domain and service the one that was right last counts.
   *
   * @returns number of entries that are ignored, since they are not valid or their service is unknown
   */
  record({ entries, ageMs, ownDomainId, isKnownService }: ReceivedRooms): number {
    this.removeExpired();
    const nowMs = this.clock.nowMs();
    let ignored = 0;
    for (const entry of entries) {
      const parsed = domainRoomSchema.safeParse(entry);
      if (!parsed.success || !isKnownService(parsed.data.serviceId)) {
        ignored += 1;
        continue;
      }
      const { ageMs: entryAgeMs, ...room } = parsed.data;
      if (room.failureDomainId !== ownDomainId) {
        this.keepNewest({ room, atMs: nowMs - ageMs - entryAgeMs });
      }
    }
    return ignored;
  }

  /** Returns what is known of a service in another failure domain. */
  find(failureDomainId: string, serviceId: string): KnownRoom {
    const timed = this.rooms.get(keyOf({ failureDomainId, serviceId }));
    const ageMs = timed === undefined ? Infinity : this.clock.nowMs() - timed.atMs;
    return timed === undefined || ageMs > maxRoomAgeMs
      ? { kind: 'unknown' }
      : { kind: 'known', room: { ...timed.room, ageMs } };
  }

  /** Lists the entries that have not expired, with their present age. */
  list(): DomainRoom[] {
    this.removeExpired();
    const nowMs = this.clock.nowMs();
    return [...this.rooms.values()].map(({ room, atMs }) => ({
      ...room,
      ageMs: Math.round(nowMs - atMs),
    }));
  }

  private keepNewest(timed: TimedRoom): void {
    const key = keyOf(timed.room);
    const known = this.rooms.get(key);
    const isNewest = known === undefined ? this.rooms.size < maxKeptRooms : known.atMs < timed.atMs;
    if (isNewest && this.clock.nowMs() - timed.atMs <= maxRoomAgeMs) {
      this.rooms.set(key, timed);
    }
  }

  private removeExpired(): void {
    const oldestMs = this.clock.nowMs() - maxRoomAgeMs;
    for (const [key, { atMs }] of this.rooms) {
      if (atMs < oldestMs) {
        this.rooms.delete(key);
      }
    }
  }
}

/**
 * The entry of a daemon's own failure domain. Its age counts from the sum: by the oldest report in it, it would expire between
 * two heartbeats of an idle fleet, 0.6 to 0.9 s apart. Reports that have expired are not in the sum.
 */
export const toDomainRoom = (
  failureDomainId: string,
  serviceId: string,
  { freeCpuMillis, capacityCpuMillis, waiting }: ServiceLoad,
): DomainRoom => ({
  failureDomainId,
  serviceId,
  freeCpuMillis: Math.round(freeCpuMillis),
  capacityCpuMillis: Math.round(capacityCpuMillis),
  waitingCoreMs: Math.round(waiting.reduce((sum, { coreMs }) => sum + coreMs, 0)),
  ageMs: 0,
});

const keyOf = ({
  failureDomainId,
  serviceId,
}: Pick<DomainRoom, 'failureDomainId' | 'serviceId'>): string =>
  JSON.stringify([failureDomainId, serviceId]);
