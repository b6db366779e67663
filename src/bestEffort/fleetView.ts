/**
 * What this daemon knows of the room at every dispatcher: the last word of each, less what was sent
 * there since.
 */
import type { MemberLoad } from '../fleet/types.js';
import type { Clock } from '../ports/clock.js';
import { addResources, subtractResources } from '../resources/resources.js';
import type { Resources } from '../resources/resources.js';
import type { Candidate } from '../dispatch/workerChoice.js';
import type { WorkerRecord } from '../workers/types.js';

/** Age at which the word of a dispatcher no longer counts, in milliseconds. */
const maxAgeMs = 900;

/** A dispatcher's worker, with the room that is thought to be left. */
export interface SeenWorker extends Candidate {
  readonly dispatcherId: string;
  readonly capacity: Resources;
  free: Resources;
}

/** A dispatcher as a place where a task may wait. */
export interface SeenDispatcher {
  readonly dispatcherId: string;
  readonly distanceMs: number;
  readonly workers: readonly SeenWorker[];
  readonly nextEndInMs: number;
  waitingCoreMs: number;
}

interface HeardLoad {
  readonly load: MemberLoad;
  readonly distanceMs: number;
  readonly heardAtMs: number;
  /** Room that was promised to tasks since. */
  readonly reserved: Map<string, Resources>;
  sentCoreMs: number;
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
   * @param load - its workers and waiting work
   * @param distanceMs - cost of reaching it, in milliseconds
   */
  hear(dispatcherId: string, load: MemberLoad, distanceMs: number): void {
    const heardAtMs = this.options.clock.nowMs();
    this.loads.set(dispatcherId, {
      load,
      distanceMs,
      heardAtMs,
      reserved: new Map(),
      sentCoreMs: 0,
    });
  }

  /** Takes the newest word of a dispatcher that is known; of others only heartbeats are taken. */
  refresh(dispatcherId: string, load: MemberLoad): void {
    const known = this.loads.get(dispatcherId);
    if (known !== undefined) {
      this.hear(dispatcherId, load, known.distanceMs);
    }
  }

  forget(dispatcherId: string): void {
    this.loads.delete(dispatcherId);
  }

  /** Takes off the room that a task was sent for. */
  reserve(
    dispatcherId: string,
    workerId: string | undefined,
    needs: Resources,
    coreMs: number,
  ): void {
    const heard = this.loads.get(dispatcherId);
    if (heard === undefined) {
      return;
    }
    if (workerId === undefined) {
      heard.sentCoreMs += coreMs;
      return;
    }
    const before = heard.reserved.get(workerId);
    heard.reserved.set(workerId, before === undefined ? needs : addResources(before, needs));
  }

  /** @returns the dispatchers that are heard, with workers of a service that get tasks */
  dispatchers(serviceId: string): SeenDispatcher[] {
    const { clock, ownId, ownLoad } = this.options;
    this.hear(ownId, ownLoad(), 0);
    const oldestMs = clock.nowMs() - maxAgeMs;
    return [...this.loads].flatMap(([dispatcherId, heard]) =>
      heard.heardAtMs < oldestMs ? [] : [this.see(dispatcherId, heard, serviceId)],
    );
  }

  private see(dispatcherId: string, heard: HeardLoad, serviceId: string): SeenDispatcher {
    const { load, distanceMs, reserved, sentCoreMs } = heard;
    const workers: SeenWorker[] = [];
    let nextEndInMs = Infinity;
    for (const { workerId, free, slowness, isOpen, nextEndInMs: endInMs } of load.workers) {
      const record = this.options.findWorker(workerId);
      if (!isOpen || record?.serviceId !== serviceId) {
        continue;
      }
      const taken = reserved.get(workerId);
      const left = taken === undefined ? free : subtractResources(free, taken);
      const { labels, capacity } = record;
      workers.push({ dispatcherId, workerId, labels, capacity, free: left, slowness, distanceMs });
      nextEndInMs = Math.min(nextEndInMs, endInMs);
    }
    const waitingCoreMs = load.waitingCoreMs + sentCoreMs;
    return { dispatcherId, distanceMs, workers, nextEndInMs, waitingCoreMs };
  }
}
