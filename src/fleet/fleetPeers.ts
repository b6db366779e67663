/**
 * The other daemons of the fleet: one async function for each exchanges heartbeats with it, if this
 * daemon keeps contact.
 */
import type { Clock } from '../ports/clock.js';
import type { FleetConnector } from '../ports/fleetPeers.js';
import type { FleetStore } from '../ports/fleetStore.js';
import type { Logger } from '../ports/logger.js';
import type { FleetHeartbeat, KnownMember, Member } from '../types/fleet.js';
import { chooseContacts, rankContact } from './contacts.js';
import { FleetPeer } from './fleetPeer.js';
import { PeerSearch } from './peerSearch.js';

const beatPeriodMs = 300;
const beatTimeoutMs = 250;
/** A peer in another failure domain that called within this time need not be called. */
const calledLatelyMs = 1.5 * beatPeriodMs;
/** One heartbeat in this many tells what was learned of run times. */
const fullBeatEvery = 5;
/** Longest silence after which a peer still counts as heard, in milliseconds. */
export const maxPeerSilenceMs = 900;
/** Silence after which others take the duties of a peer over, in milliseconds. */
const maxAbsenceMs = 3_000;
/** A peer that nobody hears or names for this long is forgotten, in milliseconds. */
const forgetAfterMs = 20_000;
/** Pause between tries to reach a peer that is not heard. */
const retryPeriodMs = 500;
const watchPeriodMs = 100;

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
  /** Tells whether batches of one of the two daemons are with the other. */
  readonly isBound: (incarnation: string) => boolean;
  /** Called when a process is no longer heard, or another one has taken its place. */
  readonly onLost: (incarnation: string) => void;
  /** Called when a process did not answer in time; it may be heard again soon. */
  readonly onSuspect: (incarnation: string) => void;
}

export class FleetPeers {
  private readonly peers = new Map<string, FleetPeer>();
  /** Addresses in other failure domains that this daemon has chosen. */
  private contacts: ReadonlySet<string> = new Set();
  private readonly stop = new AbortController();
  private readonly logger: Logger;
  private readonly search: PeerSearch;

  private constructor(private readonly options: FleetPeersOptions) {
    const { clock, store, failureDomainIds } = options;
    this.logger = options.logger.forPart('fleet');
    this.search = PeerSearch.create({
      clock,
      logger: this.logger,
      store,
      failureDomainIds,
      isAlone: () => this.heard().length === 0,
      onFound: (members) => this.addAll(members),
    });
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
    return [...this.peers.values()].filter((peer) => this.isHeard(peer));
  }

  /** @returns what to tell others of the peers that are heard */
  heardMembers(): KnownMember[] {
    return this.heard().map(({ known }) => known);
  }

  /** @returns the other daemons of the failure domain that were heard a short while ago or since */
  nearMembers(): Member[] {
    const nowMs = this.options.clock.nowMs();
    return [...this.peers.values()].flatMap((peer) =>
      this.isNear(peer) && peer.isHeard(nowMs, maxAbsenceMs) && peer.heartbeat !== undefined
        ? [peer.heartbeat.member]
        : [],
    );
  }

  /** Takes the heartbeat of a peer that began an exchange. */
  receive(heartbeat: FleetHeartbeat): void {
    this.hear(heartbeat);
    const peer = this.peers.get(heartbeat.member.address);
    if (peer !== undefined) {
      peer.calledAtMs = this.options.clock.nowMs();
    }
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
    this.search.close();
    await Promise.all([...this.peers.values()].map((peer) => peer.close()));
  }

  private hear(heartbeat: FleetHeartbeat): void {
    const { address, incarnation, failureDomainId } = heartbeat.member;
    if (address === this.options.own.address || this.stop.signal.aborted) {
      return;
    }
    this.addAll([{ address, failureDomainId }]);
    const peer = this.peers.get(address);
    if (peer === undefined) {
      return;
    }
    const before = peer.incarnation;
    const isNew = before !== incarnation || !this.isHeard(peer);
    peer.heartbeat = heartbeat;
    peer.heardAtMs = this.options.clock.nowMs();
    peer.isSilent = false;
    peer.failures = 0;
    if (before !== undefined && before !== incarnation) {
      this.options.onLost(before);
    }
    if (isNew) {
      this.logger.info('A daemon is heard.', { nodeId: incarnation, address });
    }
    this.addAll(heartbeat.heardMembers ?? []);
    this.options.onHeartbeat(heartbeat);
  }

  private isHeard(peer: FleetPeer): boolean {
    return peer.isHeard(this.options.clock.nowMs(), maxPeerSilenceMs);
  }

  private isNear({ failureDomainId }: FleetPeer): boolean {
    return failureDomainId === this.options.own.failureDomainId;
  }

  private addAll(members: readonly KnownMember[]): void {
    const { clock, own } = this.options;
    const added: FleetPeer[] = [];
    for (const member of members.filter(({ address }) => address !== own.address)) {
      const known = this.peers.get(member.address);
      if (known === undefined) {
        added.push(this.add(member));
      } else {
        known.namedAtMs = clock.nowMs();
      }
    }
    if (added.length > 0) {
      this.refreshContacts();
      added.forEach((peer) => void this.keepPeer(peer));
    }
  }

  private add(member: KnownMember): FleetPeer {
    const { connector, clock, own } = this.options;
    const { address } = member;
    const rank = rankContact(own.address, address);
    const peer = FleetPeer.create(member, connector.connect(address), rank, clock.nowMs());
    this.peers.set(address, peer);
    return peer;
  }

  private refreshContacts(): void {
    const far = [...this.peers.values()].filter((peer) => !this.isNear(peer));
    this.contacts = chooseContacts(
      far.map((peer) => ({
        ...peer.known,
        rank: peer.rank,
        isHeard: this.isHeard(peer),
        failures: peer.failures,
      })),
    );
  }

  /** Exchanges heartbeats with one peer. */
  private async keepPeer(peer: FleetPeer): Promise<void> {
    const { clock } = this.options;
    while (!peer.stop.signal.aborted) {
      if (this.mustCall(peer)) {
        await this.exchange(peer);
      }
      await clock.sleep(this.isHeard(peer) ? beatPeriodMs : retryPeriodMs, peer.stop.signal);
    }
  }

  /** Of a pair in one failure domain the lower address calls; else whoever needs the other does. */
  private mustCall(peer: FleetPeer): boolean {
    if (!this.keepsContact(peer)) {
      return false;
    }
    if (!this.isHeard(peer)) {
      return true;
    }
    const sinceCallMs = this.options.clock.nowMs() - peer.calledAtMs;
    return this.isNear(peer)
      ? this.options.own.address < peer.address
      : sinceCallMs > calledLatelyMs;
  }

  private keepsContact(peer: FleetPeer): boolean {
    const { incarnation, address } = peer;
    return (
      this.isNear(peer) ||
      this.contacts.has(address) ||
      (incarnation !== undefined && this.options.isBound(incarnation))
    );
  }

  private async exchange(peer: FleetPeer): Promise<void> {
    const isFull = peer.beatCount % fullBeatEvery === 0;
    peer.beatCount += 1;
    const own = this.options.compose(peer.incarnation, isFull);
    const reply = await peer.link.beat(own, beatTimeoutMs);
    if (reply.isOk()) {
      this.hear(reply.value);
      return;
    }
    peer.failures += 1;
    if (peer.incarnation !== undefined) {
      this.options.onSuspect(peer.incarnation);
    }
  }

  /** Chooses contacts, and notices peers that fall silent. */
  private async watch(): Promise<void> {
    const { clock } = this.options;
    while (!this.stop.signal.aborted) {
      await clock.sleep(watchPeriodMs, this.stop.signal);
      this.refreshContacts();
      for (const peer of [...this.peers.values()]) {
        this.watchPeer(peer, clock.nowMs());
      }
    }
  }

  private watchPeer(peer: FleetPeer, nowMs: number): void {
    if (this.isHeard(peer)) {
      return;
    }
    if (peer.incarnation !== undefined && !peer.isSilent) {
      this.noteSilent(peer, peer.incarnation);
    }
    if (nowMs - Math.max(peer.heardAtMs, peer.namedAtMs) > forgetAfterMs) {
      this.peers.delete(peer.address);
      void peer.close();
    }
  }

  private noteSilent(peer: FleetPeer, incarnation: string): void {
    const { address } = peer;
    peer.isSilent = true;
    if (this.keepsContact(peer)) {
      this.logger.warn('A daemon is no longer heard.', { nodeId: incarnation, address });
    } else {
      this.logger.info('Contact with a daemon has ended.', { nodeId: incarnation, address });
    }
    this.options.onLost(incarnation);
  }
}
