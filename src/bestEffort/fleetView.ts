/**
 * This daemon's view of the free capacity at every dispatcher: the last load that each reported,
 * less the tasks that this daemon has sent there since.
 */
import type { MemberLoad } from '../types/fleet.js';
import type { Clock } from '../ports/clock.js';
import type { ServiceLoad } from '../types/serviceLoad.js';
import type { WorkerRecord } from '../types/workers.js';
import { sumServiceLoad } from './serviceLoads.js';
import { toSnapshot } from './workerSnapshot.js';
import type { Locality, WorkerSnapshot } from './workerSnapshot.js';

/** Age from which a reported load is ignored, in milliseconds. */
const maxReportAgeMs = 1_000;
/**
 * A reported load may not include tasks that were sent up to this long before it arrived, in
 * milliseconds; their reservations are kept.
 */
const reportDelayMs = 6;

/**
 * Which workers a plan considers. `free-in-domain`: those of this failure domain that report enough free
 * cores now. `own-domain`: all of this failure domain. `fleet`: all.
 */
export type Scope = 'free-in-domain' | 'own-domain' | 'fleet';

/** Cores that a task sent to a dispatcher is expected to use there. */
export interface Reservation {
  readonly dispatcherId: string;
  readonly workerId: string;
  /** Thousandths of a core. */
  readonly cpuMillis: number;
  /** Expected run time of the task, in milliseconds. */
  readonly runMs: number;
}

interface ReportedLoad {
  readonly load: MemberLoad;
  readonly locality: Locality;
  readonly receivedAtMs: number;
  readonly reservations: readonly TimedReservation[];
}

interface TimedReservation extends Reservation {
  readonly reservedAtMs: number;
}

export interface FleetViewOptions {
  readonly clock: Clock;
  /** Incarnation of this daemon. */
  readonly ownId: string;
  /** Returns the current load of this daemon's own dispatcher. */
  readonly ownLoad: () => MemberLoad;
  /** Returns the directory entry of a worker, if it is listed. */
  readonly findWorker: (workerId: string) => WorkerRecord | undefined;
}

export class FleetView {
  private readonly loads = new Map<string, ReportedLoad>();

  private constructor(private readonly options: FleetViewOptions) {}

  static create(options: FleetViewOptions): FleetView {
    return new FleetView(options);
  }

  /**
   * Records the newest load that a dispatcher reported and drops the reservations that it includes.
   *
   * @param dispatcherId - incarnation of the daemon
   * @param load - its workers and their free capacity
   * @param locality - where the daemon is, seen from this one
   * @param ageMs - time since the load was reported, in milliseconds
   */
  recordLoad(dispatcherId: string, load: MemberLoad, locality: Locality, ageMs = 0): void {
    const receivedAtMs = this.options.clock.nowMs() - ageMs;
    const before = this.loads.get(dispatcherId);
    if (before !== undefined && before.receivedAtMs > receivedAtMs) {
      return;
    }
    const earlier = before?.reservations ?? [];
    const reservations = earlier.filter(
      ({ reservedAtMs }) => receivedAtMs - reservedAtMs < reportDelayMs,
    );
    this.loads.set(dispatcherId, { load, locality, receivedAtMs, reservations });
  }

  /**
   * Records the newest load of some workers of a dispatcher that is in the view already, and drops the
   * reservations that it includes. The other workers stay as they were reported.
   *
   * @param dispatcherId - incarnation of the daemon
   * @param load - some of its workers and their free capacity
   */
  updateWorkers(dispatcherId: string, { workers }: MemberLoad): void {
    const known = this.loads.get(dispatcherId);
    if (known === undefined || workers.length === 0) {
      return;
    }
    const nowMs = this.options.clock.nowMs();
    const updated = new Map(workers.map((worker) => [worker.workerId, worker]));
    const load = {
      workers: known.load.workers.map((worker) => updated.get(worker.workerId) ?? worker),
    };
    const reservations = known.reservations.filter(
      ({ workerId, reservedAtMs }) =>
        !updated.has(workerId) || nowMs - reservedAtMs < reportDelayMs,
    );
    this.loads.set(dispatcherId, { ...known, load, reservations });
  }

  /** Removes a dispatcher from the view until it reports its load again. */
  forget(dispatcherId: string): void {
    this.loads.delete(dispatcherId);
  }

  /**
   * Subtracts the cores of a task that is about to be sent. The load of this daemon's own
   * dispatcher is read anew for each plan and needs no reservations.
   */
  reserve(reservation: Reservation): void {
    const reported = this.loads.get(reservation.dispatcherId);
    if (reported === undefined || reservation.dispatcherId === this.options.ownId) {
      return;
    }
    const timed = { ...reservation, reservedAtMs: this.options.clock.nowMs() };
    const reservations = [...reported.reservations, timed];
    this.loads.set(reservation.dispatcherId, { ...reported, reservations });
  }

  /**
   * Sums the load of a service up in this daemon's own failure domain. Reports that have expired do not count.
   *
   * @param taskCpuMillis - cores count as free only in whole tasks of this size
   */
  serviceLoad(serviceId: string, taskCpuMillis?: number): ServiceLoad {
    const { clock, findWorker, ownId, ownLoad } = this.options;
    this.recordLoad(ownId, ownLoad(), 'own');
    const oldestMs = clock.nowMs() - maxReportAgeMs;
    const reports = [...this.loads.values()].filter(
      ({ locality, receivedAtMs }) => locality !== 'far' && receivedAtMs >= oldestMs,
    );
    return sumServiceLoad(serviceId, reports, findWorker, taskCpuMillis);
  }

  /** Whether a dispatcher of another failure domain is in the view. */
  get hasFarDispatchers(): boolean {
    return [...this.loads.values()].some(({ locality }) => locality === 'far');
  }

  /**
   * Lists the workers of a service that accept tasks, at dispatchers with a recent load.
   *
   * @param serviceId - the service
   * @param scope - which workers are considered
   * @param cpuMillis - cores that a task needs, in thousandths
   * @returns snapshots that the caller may change
   */
  workers(serviceId: string, scope: Scope, cpuMillis: number): WorkerSnapshot[] {
    const { clock, findWorker, ownId, ownLoad } = this.options;
    this.recordLoad(ownId, ownLoad(), 'own');
    const oldestMs = clock.nowMs() - maxReportAgeMs;
    const minFreeCpuMillis = scope === 'free-in-domain' ? cpuMillis : 0;
    return [...this.loads].flatMap(([dispatcherId, reported]) =>
      reported.receivedAtMs < oldestMs || (scope !== 'fleet' && reported.locality === 'far')
        ? []
        : reported.load.workers.flatMap((worker) =>
            worker.free.cpuMillis < minFreeCpuMillis
              ? []
              : (toSnapshot(
                  { dispatcherId, ...reported },
                  worker,
                  findWorker(worker.workerId),
                  serviceId,
                ) ?? []),
          ),
    );
  }
}
