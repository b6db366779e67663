/**
 * Decides which endpoints of its failure domain this daemon dispatches to, and hands them over when
 * members or the configuration change.
 */
import type { ConfigurationStore } from '../configuration/configurationStore.js';
import type { PlacedEndpoint } from '../inventory/inventoryIndex.js';
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import { createDeferred } from '../utils/deferred.js';
import type { PeerSet } from './peerSet.js';
import { chooseOwner } from './rendezvous.js';
import type { AssignedEndpoint, Heartbeat } from '../types/membership.js';

/** Time that the former dispatcher of an endpoint gets to finish what it runs there. */
const handOverMs = 1_000;
/** Pause between looks at the queue of a daemon that leaves. */
const leavingPauseMs = 200;

export interface DispatchAssignmentOptions {
  readonly failureDomainId: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly configuration: ConfigurationStore;
  readonly peers: PeerSet;
  readonly ownHeartbeat: () => Heartbeat;
  /** Sets the endpoints that the scheduler serves. */
  readonly serve: (endpoints: readonly PlacedEndpoint[]) => void;
}

export class DispatchAssignment {
  private readonly stop = new AbortController();
  private readonly done: Promise<void>;
  private changed = createDeferred<undefined>();
  /** Incarnation of each endpoint's dispatcher at the last look. */
  private owners: ReadonlyMap<string, string> = new Map();
  /** When this daemon may start to dispatch, for each endpoint that is its own. */
  private readonly readyAtMs = new Map<string, number>();

  private constructor(private readonly options: DispatchAssignmentOptions) {
    const notice = (): void => this.changed.resolve(undefined);
    options.configuration.onChange(notice);
    options.peers.onChange(notice);
    this.done = this.run();
  }

  static create(options: DispatchAssignmentOptions): DispatchAssignment {
    return new DispatchAssignment(options);
  }

  /** Looks again, after this daemon's own state has changed. */
  refresh(): void {
    this.changed.resolve(undefined);
  }

  /** @returns every endpoint of the failure domain with its dispatcher */
  describe(): AssignedEndpoint[] {
    const members = this.members();
    return this.localEndpoints().map((placed) => {
      const { endpointId } = placed.endpoint;
      const isActive = this.isActive(placed);
      const owner = isActive ? chooseOwner(endpointId, eligible(members)) : undefined;
      const dispatcher = members.find(({ incarnation }) => incarnation === owner?.incarnation);
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
      const nextLookMs = this.assign();
      const timer = new AbortController();
      const signal = AbortSignal.any([this.stop.signal, timer.signal]);
      const waits: Promise<unknown>[] = [this.changed.promise];
      if (nextLookMs !== undefined) {
        waits.push(clock.sleep(nextLookMs, signal));
      }
      await Promise.race(waits);
      timer.abort();
    }
  }

  /**
   * Serves what is this daemon's own.
   *
   * @returns the time until the next look, in milliseconds, if one is needed
   */
  private assign(): number | undefined {
    const own = this.options.ownHeartbeat();
    const members = this.members();
    if (own.state === 'leaving' && own.waitingTasks > 0) {
      // What waits here still needs the endpoints that this daemon serves.
      return leavingPauseMs;
    }
    const nowMs = this.options.clock.nowMs();
    const mine = this.chooseMine(own, members, nowMs);
    const isReady = ({ endpoint }: PlacedEndpoint): boolean =>
      (this.readyAtMs.get(endpoint.endpointId) ?? 0) <= nowMs;
    this.options.serve(mine.filter(isReady));
    const waits = [...this.readyAtMs.values()].filter((atMs) => atMs > nowMs);
    return waits.length === 0 ? undefined : Math.min(...waits) - nowMs;
  }

  private chooseMine(
    own: Heartbeat,
    members: readonly Heartbeat[],
    nowMs: number,
  ): PlacedEndpoint[] {
    const candidates = eligible(members);
    const owners = new Map<string, string>();
    const mine: PlacedEndpoint[] = [];
    for (const placed of this.localEndpoints()) {
      const { endpointId } = placed.endpoint;
      const owner = this.isActive(placed) ? chooseOwner(endpointId, candidates) : undefined;
      if (owner?.incarnation !== own.incarnation) {
        this.readyAtMs.delete(endpointId);
      } else {
        mine.push(placed);
        this.noteOwn(endpointId, members, nowMs);
      }
      if (owner !== undefined) {
        owners.set(endpointId, owner.incarnation);
      }
    }
    this.owners = owners;
    this.forget(mine);
    return mine;
  }

  /** Waits for the former dispatcher of an endpoint only while that one lives. */
  private noteOwn(endpointId: string, members: readonly Heartbeat[], nowMs: number): void {
    if (this.readyAtMs.has(endpointId)) {
      return;
    }
    const { incarnation } = this.options.ownHeartbeat();
    const others = members.filter((member) => member.incarnation !== incarnation);
    const former = this.owners.get(endpointId) ?? chooseOwner(endpointId, others)?.incarnation;
    const isAlive = others.some((member) => member.incarnation === former);
    this.readyAtMs.set(endpointId, isAlive ? nowMs + handOverMs : nowMs);
  }

  private forget(mine: readonly PlacedEndpoint[]): void {
    const kept = new Set(mine.map(({ endpoint }) => endpoint.endpointId));
    for (const endpointId of this.readyAtMs.keys()) {
      if (!kept.has(endpointId)) {
        this.readyAtMs.delete(endpointId);
      }
    }
  }

  private members(): Heartbeat[] {
    const { failureDomainId, ownHeartbeat, peers } = this.options;
    const local = peers.heard().filter((member) => member.failureDomainId === failureDomainId);
    return [ownHeartbeat(), ...local];
  }

  private localEndpoints(): readonly PlacedEndpoint[] {
    const { configuration, failureDomainId } = this.options;
    return configuration.current?.inventory.endpointsOf(failureDomainId) ?? [];
  }

  /** An endpoint goes by the inventory, or by the VM list. */
  private isActive({ endpoint, worker }: PlacedEndpoint): boolean {
    return endpoint.state === 'active' && !this.options.peers.isLeaving(worker.workerId);
  }
}

/** Daemons that leave dispatch only where no other one is left. */
const eligible = (members: readonly Heartbeat[]): readonly Heartbeat[] => {
  const active = members.filter(({ state }) => state === 'active');
  return active.length > 0 ? active : members;
};
