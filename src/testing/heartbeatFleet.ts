/**
 * The peers of every daemon of a fleet of three failure domains, which exchange heartbeats on a fake
 * clock and are connected in memory; nothing else of a daemon runs.
 */
import { Err, Ok } from 'ts-results-es';
import { FleetPeers } from '../fleet/fleetPeers.js';
import type { FleetConnector, FleetLink } from '../ports/fleetPeers.js';
import type { FleetStore } from '../ports/fleetStore.js';
import type { FleetHeartbeat, Member, WorkerLoad } from '../types/fleet.js';
import { FakeClock } from './fakeClock.js';
import { silentLogger } from './silentLogger.js';
import { silentSupervisor } from './silentSupervisor.js';

const failureDomainIds = ['a', 'b', 'c'];

const workerLoad: WorkerLoad = {
  workerId: 'i-1',
  free: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
  slowness: 1,
  isOpen: true,
  releases: [],
};

export interface HeartbeatFleetOptions {
  /** Daemons of each failure domain. */
  readonly daemonsPerDomain: number;
  /** Whether two daemons, by incarnation, have batches at each other; never by default. */
  readonly sharesBatches?: (own: string, other: string) => boolean;
  /** Whether the daemons dispatch to workers, or only stand by; true by default. */
  readonly isDispatching?: boolean;
}

export class HeartbeatFleet {
  readonly clock = FakeClock.create();
  /**
   * What the store lists: `a0` at `a:0`, `a1` at `a:1` and so on, for the failure domains `a`, `b`
   * and `c`. A test may replace entries.
   */
  readonly members: Member[];
  /** Heartbeats that were sent, as addresses of the sender and the receiver. */
  readonly calls: string[] = [];
  /** Reported losses, as incarnations of the reporting and the lost daemon. */
  readonly lost: string[] = [];
  /** Addresses of daemons that no message reaches or leaves. */
  readonly disconnected = new Set<string>();
  /** By address. */
  private readonly daemons = new Map<string, FleetPeers>();

  private constructor(private readonly options: HeartbeatFleetOptions) {
    this.members = createMembers(options.daemonsPerDomain);
    for (const own of this.members) {
      this.daemons.set(own.address, this.createPeers(own));
    }
  }

  static create(options: HeartbeatFleetOptions): HeartbeatFleet {
    return new HeartbeatFleet(options);
  }

  /** @returns the addresses of the daemons that are reachable from the one at an address */
  reachableFrom(address: string): string[] {
    return (this.daemons.get(address)?.reachable() ?? []).map((peer) => peer.address);
  }

  /** Looks up a peer of the daemon at an address, by the incarnation of the peer. */
  find(from: string, incarnation: string): ReturnType<FleetPeers['find']> {
    return this.daemons.get(from)?.find(incarnation);
  }

  /** Counts the heartbeats that a daemon sent or received. */
  countHeartbeatsOf(address: string): number {
    return this.calls.filter((call) => call.split(' ').includes(address)).length;
  }

  /** Records that a daemon sends a batch to another one. */
  recordBatch(from: string, to: string): void {
    const peer = this.daemons
      .get(from)
      ?.reachable()
      .find(({ address }) => address === to);
    if (peer === undefined) {
      throw new Error(`${to} is not reachable from ${from}.`);
    }
    peer.beginSharing(this.clock.nowMs());
  }

  /** Has a daemon send heartbeats at once. */
  tellNews(from: string): void {
    this.daemons.get(from)?.tellNews();
  }

  /** Has a daemon send heartbeats at once within its failure domain. */
  tellDomainNews(from: string): void {
    this.daemons.get(from)?.tellDomainNews();
  }

  /** Delivers a heartbeat that a process has sent earlier. */
  deliver(to: string, member: Member): void {
    this.daemons.get(to)?.receiveHeartbeat(composeHeartbeatOf(member));
  }

  async close(): Promise<void> {
    await Promise.all([...this.daemons.values()].map((peers) => peers.close()));
  }

  private createPeers(own: Member): FleetPeers {
    const { sharesBatches = () => false, isDispatching = true } = this.options;
    const composeHeartbeat = (): FleetHeartbeat => ({
      ...composeHeartbeatOf(own),
      load: { workers: isDispatching ? [workerLoad] : [] },
    });
    const store: Pick<FleetStore, 'listMembers'> = {
      listMembers: (domain) =>
        Promise.resolve(Ok(this.members.filter((one) => one.failureDomainId === domain))),
    };
    return FleetPeers.create({
      supervisor: silentSupervisor(this.clock),
      clock: this.clock,
      logger: silentLogger,
      connector: this.connectorOf(own, composeHeartbeat),
      store: store as FleetStore,
      own,
      failureDomainIds,
      stopGraceMs: 6_000,
      composeHeartbeat,
      onHeartbeat: () => undefined,
      isDispatching: () => isDispatching,
      sharesBatches: (incarnation) => sharesBatches(own.incarnation, incarnation),
      onLost: (incarnation) => this.lost.push(`${own.incarnation} ${incarnation}`),
      onRoundTrip: () => undefined,
      onSuspect: () => undefined,
    });
  }

  private connectorOf(own: Member, composeHeartbeat: () => FleetHeartbeat): FleetConnector {
    return {
      connect: (address) => {
        const link: Pick<FleetLink, 'beat' | 'close'> = {
          beat: (heartbeat) => {
            this.calls.push(`${own.address} ${address}`);
            const peers = this.daemons.get(address);
            const isDisconnected =
              this.disconnected.has(address) || this.disconnected.has(own.address);
            if (peers === undefined || isDisconnected) {
              return Promise.resolve(Err({ kind: 'broken', detail: 'disconnected' }));
            }
            peers.receiveHeartbeat(heartbeat);
            const member = this.members.find((one) => one.address === address) ?? own;
            return Promise.resolve(Ok({ ...composeHeartbeat(), member }));
          },
          close: () => Promise.resolve(),
        };
        return link as FleetLink;
      },
    };
  }
}

const composeHeartbeatOf = (member: Member): FleetHeartbeat => ({
  member,
  routingVersion: 0,
  isLeaving: false,
  load: { workers: [] },
  askedBatchIds: [],
});

const createMembers = (daemonsPerDomain: number): Member[] =>
  failureDomainIds.flatMap((failureDomainId) =>
    Array.from({ length: daemonsPerDomain }, (_, index) => ({
      incarnation: `${failureDomainId}${index}`,
      address: `${failureDomainId}:${index}`,
      failureDomainId,
      weight: 1,
    })),
  );
