/**
 * The other daemons of the fleet, and which of them are reachable.
 */
import type { FleetConnector } from '../ports/fleetPeers.js';
import type { FleetStore } from '../ports/fleetStore.js';
import type { Logger } from '../ports/logger.js';
import type { FleetHeartbeat, KnownMember, Member } from '../types/fleet.js';
import type { TaskSupervisor } from '../utils/taskSupervisor.js';
import { sleepUntilNextCheck } from '../utils/periodicSleep.js';
import { RecentNames } from '../utils/recentNames.js';
import { rankContact } from './contacts.js';
import { FleetPeer } from './fleetPeer.js';
import { HeartbeatDuty } from './heartbeatDuty.js';
import { HeartbeatSender } from './heartbeatSender.js';
import { PeerDiscovery } from './peerDiscovery.js';
import { PeerRelations } from './peerRelations.js';
import type { PeerRelationsOptions } from './peerRelations.js';

/** Silence after which other daemons take over the duties of a peer, in milliseconds. */
const takeoverAfterMs = 3_000;
/** A peer that neither sends messages nor is listed for this long is removed, in milliseconds. */
const forgetAfterMs = 20_000;
/** Period in which contacts are chosen and silent peers are detected, in milliseconds. */
const checkPeriodMs = 100;
/** Processes that another one has replaced that are remembered. */
const maxReplaced = 1_024;

/** How a process was lost. `replaced`: another one has taken its place, so that it is certainly gone. */
export type PeerLoss = 'silent' | 'replaced';

export interface FleetPeersOptions extends PeerRelationsOptions {
  readonly logger: Logger;
  readonly connector: FleetConnector;
  readonly store: FleetStore;
  readonly supervisor: TaskSupervisor;
  readonly failureDomainIds: readonly string[];
  /** Longest time for which a daemon that leaves keeps its jobs, in milliseconds. */
  readonly stopGraceMs: number;
  /** Composes a heartbeat for the process with this incarnation, if it is known. */
  readonly composeHeartbeat: (peer: string | undefined, isFull: boolean) => FleetHeartbeat;
  readonly onHeartbeat: (heartbeat: FleetHeartbeat) => void;
  /** Called with the time that an exchange of heartbeats took, in milliseconds. */
  readonly onRoundTrip: (incarnation: string, durationMs: number) => void;
  /** Called when a process is no longer reachable, or another one has taken its place. */
  readonly onLost: (incarnation: string, loss: PeerLoss) => void;
  /** Called when a process did not answer a heartbeat in time; it may still be reachable. */
  readonly onSuspect: (incarnation: string) => void;
}

export class FleetPeers {
  /** By address. */
  private readonly peers = new Map<string, FleetPeer>();
  /** Processes that another one has replaced: what they sent may still arrive. */
  private readonly replaced = RecentNames.create(maxReplaced);
  private readonly stop = new AbortController();
  private readonly logger: Logger;
  private readonly discovery: PeerDiscovery;
  private readonly relations: PeerRelations;
  private readonly duty: HeartbeatDuty;
  private readonly sender: HeartbeatSender;

  private constructor(private readonly options: FleetPeersOptions) {
    this.logger = options.logger.forPart('fleet');
    this.relations = PeerRelations.create(options);
    this.duty = HeartbeatDuty.create(options, this.relations);
    this.sender = HeartbeatSender.create({
      ...options,
      relations: this.relations,
      duty: this.duty,
      onAnswer: (heartbeat) => this.handleHeartbeat(heartbeat),
    });
    this.discovery = PeerDiscovery.create({
      ...options,
      logger: this.logger,
      hasNoReachablePeer: () => this.reachable().length === 0,
      onFound: (members) => this.addMembers(members),
    });
    void options.supervisor.keep('checking peers', () => this.checkPeers(), this.stop.signal);
  }

  static create(options: FleetPeersOptions): FleetPeers {
    return new FleetPeers(options);
  }

  /** Looks for daemons in these domains from now on. */
  setFailureDomains(failureDomainIds: readonly string[]): void {
    this.discovery.setFailureDomains(failureDomainIds);
  }

  /** Finds a reachable peer by the incarnation of its process. */
  find(incarnation: string): FleetPeer | undefined {
    const peers = [...this.peers.values()];
    return peers.find((peer) => peer.incarnation === incarnation && this.isReachable(peer));
  }

  /** Finds a peer by the last process that was heard there, reachable or not. */
  findLastHeard(incarnation: string): FleetPeer | undefined {
    return [...this.peers.values()].find((peer) => peer.incarnation === incarnation);
  }

  /** @returns the peers that sent a message recently, as their relation requires */
  reachable(): FleetPeer[] {
    return [...this.peers.values()].filter((peer) => this.isReachable(peer));
  }

  /** @returns the peers that may be there though they are not reachable, such as one that is cut off */
  silent(): FleetPeer[] {
    const { clock, stopGraceMs } = this.options;
    const nowMs = clock.nowMs();
    return [...this.peers.values()].filter(
      (peer) => !this.isReachable(peer) && !peer.hasLeft(nowMs, stopGraceMs),
    );
  }

  /** Whether the store has listed the members of every failure domain, so that all peers were met. */
  get hasListedAll(): boolean {
    return this.discovery.hasListedAll;
  }

  /** Has heartbeats sent at once to all peers with which this daemon keeps contact. */
  tellNews(): void {
    this.peers.forEach((peer) => peer.tellNews());
  }

  /** Has heartbeats sent at once to the peers of this domain. */
  tellDomainNews(): void {
    this.domainPeers().forEach((peer) => peer.tellNews());
  }

  /** @returns addresses and failure domains of the reachable peers, for heartbeats */
  heardMembers(): KnownMember[] {
    return this.reachable().map(({ known }) => known);
  }

  /** @returns the other daemons of this domain that sent a message within `takeoverAfterMs` */
  presentDomainMembers(): Member[] {
    return this.domainHeartbeats(takeoverAfterMs).map(({ member }) => member);
  }

  /** @returns the last heartbeats of the other daemons of this domain that sent a message within a time in milliseconds */
  domainHeartbeats(maxSilenceMs: number): FleetHeartbeat[] {
    return this.domainPeers()
      .filter((peer) => peer.hadContactWithin(this.options.clock.nowMs(), maxSilenceMs))
      .flatMap(({ heartbeat }) => heartbeat ?? []);
  }

  /** Whether other daemons of this domain may be there that were not heard yet. */
  get hasUnheardDomainPeers(): boolean {
    return !this.hasListedAll || this.silent().some((peer) => this.relations.isInOwnDomain(peer));
  }

  /**
   * Handles a heartbeat that a peer sent of its own accord. It may have been held up, so that another
   * process than the one heard of lately has to answer a heartbeat first: only one of them is there.
   */
  receiveHeartbeat(heartbeat: FleetHeartbeat): void {
    const { address, incarnation } = heartbeat.member;
    const nowMs = this.options.clock.nowMs();
    const known = this.peers.get(address);
    const isOther = known?.incarnation !== undefined && known.incarnation !== incarnation;
    if (
      isOther &&
      (this.replaced.has(incarnation) || known.hadContactWithin(nowMs, takeoverAfterMs))
    ) {
      this.logger.info('Another process is heard at an address.', { nodeId: incarnation, address });
      known.isDisputed = true;
      return;
    }
    this.handleHeartbeat(heartbeat);
    const peer = this.peers.get(address);
    if (peer !== undefined) {
      peer.lastInboundHeartbeatAtMs = nowMs;
    }
  }

  /**
   * Records that a reachable process sent a message other than a heartbeat.
   *
   * @param incarnation - the process
   * @param ageMs - time since it sent the message, in milliseconds
   */
  recordContact(incarnation: string, ageMs = 0): void {
    const peer = this.find(incarnation);
    if (peer !== undefined) {
      peer.recordContact(this.options.clock.nowMs() - ageMs);
    }
  }

  async close(): Promise<void> {
    this.stop.abort();
    this.discovery.close();
    await Promise.all([...this.peers.values()].map((peer) => peer.close()));
  }

  /** Handles a heartbeat that a peer sent of its own accord or as an answer. */
  private handleHeartbeat(heartbeat: FleetHeartbeat): void {
    const { address, incarnation, failureDomainId } = heartbeat.member;
    if (address === this.options.own.address || this.stop.signal.aborted) {
      return;
    }
    this.addMembers([{ address, failureDomainId }]);
    const peer = this.peers.get(address);
    if (peer === undefined) {
      return;
    }
    const previous = peer.incarnation;
    const isNew = previous !== incarnation || !this.isReachable(peer);
    peer.heartbeat = heartbeat;
    peer.recordContact(this.options.clock.nowMs());
    peer.isMarkedUnreachable = false;
    peer.unansweredHeartbeats = 0;
    if (previous !== undefined && previous !== incarnation) {
      this.replaced.add(previous);
      this.options.onLost(previous, 'replaced');
    }
    if (isNew) {
      this.logger.info('A daemon is reachable.', { nodeId: incarnation, address });
    }
    this.addMembers(heartbeat.heardMembers ?? []);
    this.options.onHeartbeat(heartbeat);
  }

  private isReachable(peer: FleetPeer): boolean {
    return this.relations.isReachable(peer);
  }

  private domainPeers(): FleetPeer[] {
    return [...this.peers.values()].filter((peer) => this.relations.isInOwnDomain(peer));
  }

  /** Adds the members that are not peers yet; for the others, records that they were listed. */
  private addMembers(members: readonly KnownMember[]): void {
    const { clock, own, supervisor } = this.options;
    const added: FleetPeer[] = [];
    for (const member of members.filter(({ address }) => address !== own.address)) {
      const known = this.peers.get(member.address);
      if (known === undefined) {
        added.push(this.addPeer(member));
      } else {
        known.lastListedAtMs = clock.nowMs();
      }
    }
    if (added.length > 0) {
      this.refreshContacts();
      for (const peer of added) {
        void supervisor.keep('heartbeats', () => this.sender.exchangeWith(peer), peer.stop.signal);
      }
    }
  }

  private addPeer(member: KnownMember): FleetPeer {
    const { connector, clock, own } = this.options;
    const { address } = member;
    const rank = rankContact(own.address, address);
    const peer = FleetPeer.create(member, connector.connect(address), rank, clock.nowMs());
    this.peers.set(address, peer);
    return peer;
  }

  private refreshContacts(): void {
    this.duty.refreshContacts([...this.peers.values()]);
  }

  /** Chooses contacts and checks every peer, until the daemon closes. */
  private async checkPeers(): Promise<void> {
    const { clock } = this.options;
    while (!this.stop.signal.aborted) {
      await sleepUntilNextCheck(clock, checkPeriodMs, this.stop.signal);
      this.refreshContacts();
      for (const peer of [...this.peers.values()]) {
        this.checkPeer(peer, clock.nowMs());
      }
    }
  }

  /** Reports a peer that is no longer reachable as lost, and removes it after a longer silence. */
  private checkPeer(peer: FleetPeer, nowMs: number): void {
    if (this.isReachable(peer)) {
      return;
    }
    if (peer.incarnation !== undefined && !peer.isMarkedUnreachable) {
      this.markUnreachable(peer, peer.incarnation);
    }
    if (nowMs - Math.max(peer.lastContactAtMs, peer.lastListedAtMs) > forgetAfterMs) {
      this.peers.delete(peer.address);
      void peer.close();
    }
  }

  private markUnreachable(peer: FleetPeer, incarnation: string): void {
    const { address } = peer;
    peer.isMarkedUnreachable = true;
    if (this.duty.keepsContact(peer)) {
      this.logger.warn('A daemon is no longer reachable.', { nodeId: incarnation, address });
    } else {
      this.logger.info('Contact with a daemon has ended.', { nodeId: incarnation, address });
    }
    this.options.onLost(incarnation, 'silent');
  }
}
