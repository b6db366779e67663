/**
 * The other daemons of the fleet: one async function for each exchanges heartbeats.
 */
import type { Clock } from '../ports/clock.js';
import type { FleetConnector } from '../ports/fleetPeers.js';
import type { FleetStore } from '../ports/fleetStore.js';
import type { Logger } from '../ports/logger.js';
import { FleetPeer } from './fleetPeer.js';
import type { FleetHeartbeat, Member } from './types.js';

const beatPeriodMs = 300;
const beatTimeoutMs = 250;
/** One heartbeat in this many tells what was learned of run times. */
const fullBeatEvery = 5;
/** Longest silence after which a peer still counts as heard, in milliseconds. */
export const maxPeerSilenceMs = 900;
/** A peer that is not heard for this long is forgotten, in milliseconds. */
const forgetAfterMs = 20_000;
/** Pause between tries to reach a peer that is not heard. */
const retryPeriodMs = 500;
const watchPeriodMs = 100;
/** The store is asked for members this often, until peers are heard, and then seldom. */
const searchPeriodMs = 700;
const refreshPeriodMs = 5_000;

export interface FleetPeersOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly connector: FleetConnector;
  readonly store: FleetStore;
  readonly own: Member;
  readonly failureDomainIds: readonly string[];
  /** Composes the heartbeat for one peer; a full one tells what was learned of run times. */
  readonly compose: (peer: string | undefined, isFull: boolean) => FleetHeartbeat;
  readonly onHeartbeat: (heartbeat: FleetHeartbeat) => void;
  /** Called when a process is no longer heard, or another one has taken its place. */
  readonly onLost: (incarnation: string) => void;
  /** Called when a process did not answer in time; it may be heard again soon. */
  readonly onSuspect: (incarnation: string) => void;
}

export class FleetPeers {
  private readonly peers = new Map<string, FleetPeer>();
  private readonly stop = new AbortController();
  private readonly logger: Logger;

  private constructor(private readonly options: FleetPeersOptions) {
    this.logger = options.logger.forPart('fleet');
    void this.search();
    void this.watch();
  }

  static create(options: FleetPeersOptions): FleetPeers {
    return new FleetPeers(options);
  }

  /** Finds a peer that is heard by the incarnation of its process. */
  find(incarnation: string): FleetPeer | undefined {
    return this.heard().find((peer) => peer.incarnation === incarnation);
  }

  /** @returns the peers that were heard of late */
  heard(): FleetPeer[] {
    const nowMs = this.options.clock.nowMs();
    return [...this.peers.values()].filter((peer) => peer.isHeard(nowMs, maxPeerSilenceMs));
  }

  /** Takes a heartbeat, from a request or an answer. */
  hear(heartbeat: FleetHeartbeat): void {
    const { address, incarnation } = heartbeat.member;
    if (address === this.options.own.address || this.stop.signal.aborted) {
      return;
    }
    const peer = this.add(address);
    const before = peer.incarnation;
    const isNew = before !== incarnation || !this.isHeard(peer);
    peer.heartbeat = heartbeat;
    peer.heardAtMs = this.options.clock.nowMs();
    if (before !== undefined && before !== incarnation) {
      this.options.onLost(before);
    }
    if (isNew) {
      this.logger.info('A daemon is heard.', { nodeId: incarnation, address });
    }
    this.addAll(heartbeat.heardAddresses);
    this.options.onHeartbeat(heartbeat);
  }

  /** Notes that a process was heard in another message than a heartbeat. */
  noteHeard(incarnation: string): void {
    const peer = this.find(incarnation);
    if (peer !== undefined) {
      peer.heardAtMs = this.options.clock.nowMs();
    }
  }

  async close(): Promise<void> {
    this.stop.abort();
    await Promise.all([...this.peers.values()].map((peer) => peer.close()));
  }

  private isHeard(peer: FleetPeer): boolean {
    return peer.isHeard(this.options.clock.nowMs(), maxPeerSilenceMs);
  }

  private addAll(addresses: readonly string[]): void {
    addresses
      .filter((address) => address !== this.options.own.address)
      .forEach((address) => this.add(address));
  }

  private add(address: string): FleetPeer {
    const known = this.peers.get(address);
    if (known !== undefined) {
      return known;
    }
    const { connector, clock } = this.options;
    const peer = FleetPeer.create(address, connector.connect(address), clock.nowMs());
    this.peers.set(address, peer);
    void this.keepPeer(peer);
    return peer;
  }

  /** Exchanges heartbeats with one peer; of each pair, the lower address calls. */
  private async keepPeer(peer: FleetPeer): Promise<void> {
    const { clock, own } = this.options;
    const isCaller = own.address < peer.address;
    while (!peer.stop.signal.aborted) {
      const isHeard = this.isHeard(peer);
      if (isCaller || !isHeard) {
        await this.exchange(peer);
      }
      await clock.sleep(this.isHeard(peer) ? beatPeriodMs : retryPeriodMs, peer.stop.signal);
    }
  }

  private async exchange(peer: FleetPeer): Promise<void> {
    const isFull = peer.beatCount % fullBeatEvery === 0;
    peer.beatCount += 1;
    const own = this.options.compose(peer.incarnation, isFull);
    const reply = await peer.link.beat(own, beatTimeoutMs);
    if (reply.isOk()) {
      this.hear(reply.value);
    } else if (peer.incarnation !== undefined) {
      this.options.onSuspect(peer.incarnation);
    }
  }

  /** Notices peers that fall silent. */
  private async watch(): Promise<void> {
    const { clock } = this.options;
    const silent = new Set<string>();
    while (!this.stop.signal.aborted) {
      await clock.sleep(watchPeriodMs, this.stop.signal);
      const nowMs = clock.nowMs();
      for (const peer of [...this.peers.values()]) {
        this.watchPeer(peer, silent, nowMs);
      }
    }
  }

  private watchPeer(peer: FleetPeer, silent: Set<string>, nowMs: number): void {
    const { address, incarnation } = peer;
    if (peer.isHeard(nowMs, maxPeerSilenceMs)) {
      silent.delete(address);
      return;
    }
    if (incarnation !== undefined && !silent.has(address)) {
      silent.add(address);
      this.logger.warn('A daemon is no longer heard.', { nodeId: incarnation, address });
      this.options.onLost(incarnation);
    }
    if (nowMs - Math.max(peer.heardAtMs, peer.foundAtMs) > forgetAfterMs) {
      silent.delete(address);
      this.peers.delete(address);
      void peer.close();
    }
  }

  /** Asks the store for the members of every failure domain. */
  private async search(): Promise<void> {
    const { clock, failureDomainIds, store } = this.options;
    while (!this.stop.signal.aborted) {
      for (const failureDomainId of failureDomainIds) {
        const members = await store.listMembers(failureDomainId);
        if (members.isErr()) {
          this.logger.debug('The members cannot be listed.', { reason: members.error.detail });
        }
        this.addAll(members.unwrapOr([]).map(({ address }) => address));
      }
      const isAlone = this.heard().length === 0;
      await clock.sleep(isAlone ? searchPeriodMs : refreshPeriodMs, this.stop.signal);
    }
  }
}
