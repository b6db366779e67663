/**
 * Decides which endpoints of the failure domain this daemon dispatches to, by rendezvous hashing
 * over the reachable daemons, and hands endpoints over when the members or the configuration
 * change.
 */
import type { ConfigurationStore } from '../configuration/configurationStore.js';
import type { PlacedEndpoint } from '../inventory/inventoryIndex.js';
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import { createDeferred } from '../utils/deferred.js';
import type { PeerSet } from './peerSet.js';
import { chooseOwner } from './rendezvous.js';
import type { AssignedEndpoint, Heartbeat } from '../types/membership.js';

/** Time that the previous dispatcher of an endpoint gets to finish the tasks that it runs there. */
const handOverMs = 1_000;
/** Period at which a daemon that is leaving checks whether its queue is empty. */
const drainPollMs = 200;

export interface DispatchAssignmentOptions {
  readonly failureDomainId: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly configuration: ConfigurationStore;
  readonly peers: PeerSet;
  /** Composes this daemon's own heartbeat, from which its state and waiting tasks are read. */
  readonly ownHeartbeat: () => Heartbeat;
  /** Sets the endpoints that the scheduler dispatches to, in place of those before. */
  readonly serve: (endpoints: readonly PlacedEndpoint[]) => void;
}

export class DispatchAssignment {
  private readonly stop = new AbortController();
  private readonly done: Promise<void>;
  /** Resolved when the members, the configuration or this daemon's state change. */
  private changed = createDeferred<undefined>();
  /** Incarnation of each endpoint's dispatcher at the last assignment. */
  private lastDispatchers: ReadonlyMap<string, string> = new Map();
  /** Monotonic time from which this daemon dispatches to each endpoint assigned to it. */
  private readonly readyAtMs = new Map<string, number>();

  private constructor(private readonly options: DispatchAssignmentOptions) {
    const wake = (): void => this.changed.resolve(undefined);
    options.configuration.onChange(wake);
    options.peers.onChange(wake);
    this.done = this.run();
  }

  static create(options: DispatchAssignmentOptions): DispatchAssignment {
    return new DispatchAssignment(options);
  }

  /** Computes the assignment again, after this daemon's own state has changed. */
  refresh(): void {
    this.changed.resolve(undefined);
  }

  /**
   * @returns every endpoint of the failure domain with its dispatcher, as this daemon computes it
   */
  describe(): AssignedEndpoint[] {
    const members = this.members();
    return this.localEndpoints().map((placed) => {
      const { endpointId } = placed.endpoint;
      const isActive = this.isActive(placed);
      const chosen = isActive ? chooseOwner(endpointId, eligibleDispatchers(members)) : undefined;
      const dispatcher = members.find(({ incarnation }) => incarnation === chosen?.incarnation);
      const state = isActive ? 'active' : 'leaving';
      return { endpointId, dispatcher: dispatcher?.vmId ?? null, state };
    });
  }

  async close(): Promise<void> {
    this.stop.abort();
    this.changed.resolve(undefined);
    await this.done;
  }

  private async run(): Promise<void> {
    const { clock } = this.options;
    while (!this.stop.signal.aborted) {
      this.changed = createDeferred();
      const recheckInMs = this.updateServedEndpoints();
      const timer = new AbortController();
      const signal = AbortSignal.any([this.stop.signal, timer.signal]);
      const waits: Promise<unknown>[] = [this.changed.promise];
      if (recheckInMs !== undefined) {
        waits.push(clock.sleep(recheckInMs, signal));
      }
      await Promise.race(waits);
      timer.abort();
    }
  }

  /**
   * Computes the assignment and serves the endpoints that are ready. A daemon that is leaving keeps
   * its endpoints until its queue is empty.
   *
   * @returns time in milliseconds until the assignment has to be computed again; undefined where
   * only a change makes that necessary
   */
  private updateServedEndpoints(): number | undefined {
    const own = this.options.ownHeartbeat();
    const members = this.members();
    if (own.state === 'leaving' && own.waitingTasks > 0) {
      // The tasks that wait here still need the endpoints that this daemon serves.
      return drainPollMs;
    }
    const nowMs = this.options.clock.nowMs();
    const assigned = this.selectAssigned(own, members, nowMs);
    const isReady = ({ endpoint }: PlacedEndpoint): boolean =>
      (this.readyAtMs.get(endpoint.endpointId) ?? 0) <= nowMs;
    this.options.serve(assigned.filter(isReady));
    const pending = [...this.readyAtMs.values()].filter((atMs) => atMs > nowMs);
    return pending.length === 0 ? undefined : Math.min(...pending) - nowMs;
  }

  /** Selects the endpoints assigned to this daemon, and updates when each of them is ready. */
  private selectAssigned(
    own: Heartbeat,
    members: readonly Heartbeat[],
    nowMs: number,
  ): PlacedEndpoint[] {
    const candidates = eligibleDispatchers(members);
    const dispatchers = new Map<string, string>();
    const assigned: PlacedEndpoint[] = [];
    for (const placed of this.localEndpoints()) {
      const { endpointId } = placed.endpoint;
      const dispatcher = this.isActive(placed) ? chooseOwner(endpointId, candidates) : undefined;
      if (dispatcher?.incarnation !== own.incarnation) {
        this.readyAtMs.delete(endpointId);
      } else {
        assigned.push(placed);
        this.setReadyTime(endpointId, members, nowMs);
      }
      if (dispatcher !== undefined) {
        dispatchers.set(endpointId, dispatcher.incarnation);
      }
    }
    this.lastDispatchers = dispatchers;
    this.pruneReadyTimes(assigned);
    return assigned;
  }

  /**
   * Sets when a newly assigned endpoint is ready: at once, or after the hand-over time while its
   * previous dispatcher is reachable. On a daemon that has not computed an assignment of the
   * endpoint yet, the previous dispatcher is the one that the other members choose without it.
   */
  private setReadyTime(endpointId: string, members: readonly Heartbeat[], nowMs: number): void {
    if (this.readyAtMs.has(endpointId)) {
      return;
    }
    const { incarnation } = this.options.ownHeartbeat();
    const others = members.filter((member) => member.incarnation !== incarnation);
    const previous =
      this.lastDispatchers.get(endpointId) ?? chooseOwner(endpointId, others)?.incarnation;
    const isReachable = others.some((member) => member.incarnation === previous);
    this.readyAtMs.set(endpointId, isReachable ? nowMs + handOverMs : nowMs);
  }

  /** Removes the times of endpoints that the configuration no longer has. */
  private pruneReadyTimes(assigned: readonly PlacedEndpoint[]): void {
    const kept = new Set(assigned.map(({ endpoint }) => endpoint.endpointId));
    for (const endpointId of this.readyAtMs.keys()) {
      if (!kept.has(endpointId)) {
        this.readyAtMs.delete(endpointId);
      }
    }
  }

  /** Returns the heartbeats of this daemon and of the reachable ones in its failure domain. */
  private members(): Heartbeat[] {
    const { failureDomainId, ownHeartbeat, peers } = this.options;
    const local = peers
      .reachablePeers()
      .filter((member) => member.failureDomainId === failureDomainId);
    return [ownHeartbeat(), ...local];
  }

  private localEndpoints(): readonly PlacedEndpoint[] {
    const { configuration, failureDomainId } = this.options;
    return configuration.current?.inventory.endpointsOf(failureDomainId) ?? [];
  }

  /** Checks that neither the inventory nor the VM list says that the endpoint is leaving. */
  private isActive({ endpoint, worker }: PlacedEndpoint): boolean {
    return endpoint.state === 'active' && !this.options.peers.isLeaving(worker.workerId);
  }
}

/** Daemons that are leaving become dispatchers only where every daemon is leaving. */
const eligibleDispatchers = (members: readonly Heartbeat[]): readonly Heartbeat[] => {
  const active = members.filter(({ state }) => state === 'active');
  return active.length > 0 ? active : members;
};
