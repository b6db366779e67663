/**
 * What this daemon knows of the room at every dispatcher: the last word of each, less what was sent
 * there since.
 */
import type { Candidate } from '../dispatch/workerChoice.js';
import { RoomProfile } from '../dispatch/roomProfile.js';
import type { MemberLoad, WorkerLoad } from '../types/fleet.js';
import type { Clock } from '../ports/clock.js';
import { fitsInto } from '../types/resources.js';
import type { Resources } from '../types/resources.js';
import type { WorkerRecord } from '../types/workers.js';

/** Age at which the word of a dispatcher no longer counts, in milliseconds. */
const maxAgeMs = 1_000;
/** A word may have been written before what was sent this shortly before it came, in milliseconds. */
const inFlightMs = 6;

/** Whether a dispatcher is this daemon itself, in its failure domain, or in another one. */
export type Nearness = 'own' | 'near' | 'far';

/** Time in which a task reaches a dispatcher, in milliseconds. */
const distancesMs: Readonly<Record<Nearness, number>> = { own: 0, near: 1, far: 4 };

/** A dispatcher's worker, with the room that is thought to be left. */
export interface SeenWorker extends Omit<Candidate, 'startsInMs' | 'reachCost'> {
  readonly dispatcherId: string;
  readonly nearness: Nearness;
  /** When its dispatcher was heard last, on this process's monotonic clock. */
  readonly heardAtMs: number;
  readonly capacity: Resources;
  readonly profile: RoomProfile;
}

/** Room that a task was sent for. */
export interface Reservation {
  readonly dispatcherId: string;
  readonly workerId: string;
  readonly cpuMillis: number;
  readonly runMs: number;
}

interface HeardLoad {
  readonly load: MemberLoad;
  readonly nearness: Nearness;
  readonly heardAtMs: number;
  readonly reservations: readonly TimedReservation[];
}

interface TimedReservation extends Reservation {
  readonly atMs: number;
}

export interface FleetViewOptions {
  readonly clock: Clock;
  /** Incarnation of this daemon. */
  readonly ownId: string;
  /** Tells the room at this daemon's own dispatcher. */
  readonly ownLoad: () => MemberLoad;
  /** Finds the entry of a worker. */
  readonly findWorker: (workerId: string) => WorkerRecord | undefined;
}

export class FleetView {
  private readonly loads = new Map<string, HeardLoad>();

  private constructor(private readonly options: FleetViewOptions) {}

  static create(options: FleetViewOptions): FleetView {
    return new FleetView(options);
  }

  /**
   * Takes the newest word of a dispatcher.
   *
   * @param dispatcherId - incarnation of the daemon
   * @param load - its workers and their room
   * @param nearness - where it is
   */
  hear(dispatcherId: string, load: MemberLoad, nearness: Nearness): void {
    const heardAtMs = this.options.clock.nowMs();
    const before = this.loads.get(dispatcherId)?.reservations ?? [];
    const reservations = before.filter(({ atMs }) => heardAtMs - atMs < inFlightMs);
    this.loads.set(dispatcherId, { load, nearness, heardAtMs, reservations });
  }

  /** Takes the newest word of a dispatcher that is known; of others only heartbeats are taken. */
  refresh(dispatcherId: string, load: MemberLoad): void {
    const known = this.loads.get(dispatcherId);
    if (known !== undefined) {
      this.hear(dispatcherId, load, known.nearness);
    }
  }

  nearnessOf(dispatcherId: string): Nearness | undefined {
    return this.loads.get(dispatcherId)?.nearness;
  }

  forget(dispatcherId: string): void {
    this.loads.delete(dispatcherId);
  }

  /** Takes off the room that a task was sent for. */
  reserve(reservation: Reservation): void {
    const heard = this.loads.get(reservation.dispatcherId);
    if (heard === undefined || reservation.dispatcherId === this.options.ownId) {
      return;
    }
    const timed = { ...reservation, atMs: this.options.clock.nowMs() };
    const reservations = [...heard.reservations, timed];
    this.loads.set(reservation.dispatcherId, { ...heard, reservations });
  }

  /** @returns the workers of a service that get tasks, at the dispatchers that are heard */
  workers(serviceId: string): SeenWorker[] {
    const { clock, ownId, ownLoad } = this.options;
    this.hear(ownId, ownLoad(), 'own');
    const oldestMs = clock.nowMs() - maxAgeMs;
    return [...this.loads].flatMap(([dispatcherId, heard]) =>
      heard.heardAtMs < oldestMs
        ? []
        : heard.load.workers.flatMap(
            (worker) => this.see(dispatcherId, heard, worker, serviceId) ?? [],
          ),
    );
  }

  private see(
    dispatcherId: string,
    { nearness, reservations, heardAtMs }: HeardLoad,
    { workerId, free, slowness, isOpen, releases }: WorkerLoad,
    serviceId: string,
  ): SeenWorker | undefined {
    const record = this.options.findWorker(workerId);
    if (!isOpen || record?.serviceId !== serviceId) {
      return undefined;
    }
    const profile = RoomProfile.create(free.cpuMillis, releases);
    for (const reserved of reservations) {
      if (reserved.workerId === workerId) {
        profile.take(reserved.cpuMillis, reserved.runMs);
      }
    }
    const { labels, capacity } = record;
    return {
      dispatcherId,
      heardAtMs,
      workerId,
      labels,
      capacity,
      free,
      profile,
      slowness,
      nearness,
      distanceMs: distancesMs[nearness],
    };
  }
}

/**
 * Tells when a worker has room for a task.
 *
 * @param worker - the worker
 * @param needs - what the task takes
 * @returns time from now in milliseconds; infinite if it never fits
 */
export const roomInMs = ({ capacity, free, profile }: SeenWorker, needs: Resources): number => {
  if (!fitsInto(needs, capacity)) {
    return Infinity;
  }
  const startsInMs = profile.startsInMs(needs.cpuMillis);
  const isFreeNow = startsInMs === 0 && fitsInto({ ...needs, cpuMillis: 0 }, free);
  return isFreeNow ? 0 : Math.max(startsInMs, 1);
};
