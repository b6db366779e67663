/**
 * The other daemons, by the VM list and by their heartbeats: one async function for each exchanges
 * heartbeats, and listeners learn of each change.
 */
import type { DomainMembers } from '../types/limits.js';
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { PeerConnector, PeerLink } from '../ports/peers.js';
import type { VmList, VmRecord } from '../ports/vmList.js';
import { listDomainMembers } from './domainMembers.js';
import { HeartbeatExchange } from './heartbeatExchange.js';
import { heartbeatPeriodMs, classifyPair } from './heartbeatPeriod.js';
import { Peer } from './peer.js';
import type { ListedRoute } from './peer.js';
import { rankMember } from './rendezvous.js';
import type { Heartbeat } from '../types/membership.js';
import { VmListPoller } from './vmListPoller.js';

export interface PeerSetOptions {
  readonly vmId: string;
  readonly failureDomainId: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly vmList: VmList;
  readonly connector: PeerConnector;
  /** Composes this daemon's own heartbeat, without a quota notice. */
  readonly ownHeartbeat: () => Heartbeat;
  /** Composes the heartbeat that is sent to a peer, with the quota notice. */
  readonly sentHeartbeat: () => Heartbeat;
}

export type MembershipListener = () => void;
export type HeartbeatListener = (heartbeat: Heartbeat) => void;

export class PeerSet {
  /** By VM id. */
  private readonly peers = new Map<string, Peer>();
  /** The running functions that maintain links. */
  private readonly tasks = new Set<Promise<void>>();
  private readonly stop = new AbortController();
  private readonly listeners: MembershipListener[] = [];
  private readonly heartbeatListeners: HeartbeatListener[] = [];
  private readonly logger: Logger;
  private readonly vmList: VmListPoller;
  private readonly exchanges: HeartbeatExchange;
  /** The exchange with all peers that is under way. */
  private refreshing: Promise<void> | undefined;
  /** The VM list as it was last read. */
  private vms: readonly VmRecord[] = [];

  private constructor(private readonly options: PeerSetOptions) {
    this.logger = options.logger.forPart('membership');
    this.exchanges = HeartbeatExchange.create({
      vmId: options.vmId,
      clock: options.clock,
      sentHeartbeat: options.sentHeartbeat,
      onReply: (peer, heartbeat) => this.recordHeartbeat(peer, heartbeat),
      onPeriod: (peer) => this.notifyIfChanged(peer),
    });
    this.vmList = VmListPoller.create({
      clock: options.clock,
      vmList: options.vmList,
      onList: (vms) => this.reconcile(vms),
      onLeavingChange: () => this.notify(),
    });
  }

  static create(options: PeerSetOptions): PeerSet {
    return new PeerSet(options);
  }

  /** @returns the last heartbeat of every reachable peer */
  reachablePeers(): Heartbeat[] {
    return [...this.peers.values()].flatMap((peer) => this.asMember(peer) ?? []);
  }

  /** @returns the VMs that the VM list names and whose daemons are unreachable */
  unheardVmIds(): string[] {
    return [...this.peers.values()].flatMap((peer) =>
      this.asMember(peer) === undefined ? [peer.vmId] : [],
    );
  }

  /** @returns the daemons of this failure domain that the VM list names or that are reachable */
  domainMembers(): DomainMembers {
    return listDomainMembers(this.options, this.vms, this.reachablePeers());
  }

  /** Checks whether the VM list marks the VM of a daemon or of an endpoint as leaving. */
  isLeaving(vmId: string): boolean {
    return this.vmList.isLeaving(vmId);
  }

  /**
   * Ranks this daemon among the reachable ones for a duty that a single daemon has to perform.
   *
   * @param duty - name of the duty, which is hashed
   * @returns the rank, 0 for the daemon that performs it
   */
  rankOf(duty: string): number {
    return rankMember(duty, this.options.ownHeartbeat(), this.reachablePeers());
  }

  /** Calls a listener when a member joins, changes or is lost, and when a VM begins to leave. */
  onChange(listener: MembershipListener): void {
    this.listeners.push(listener);
  }

  /** Calls a listener with every heartbeat that a peer sends or answers with. */
  onHeartbeat(listener: HeartbeatListener): void {
    this.heartbeatListeners.push(listener);
  }

  /** Processes the heartbeat of a peer that started an exchange. */
  receiveHeartbeat(theirs: Heartbeat): void {
    if (theirs.vmId === this.options.vmId || this.stop.signal.aborted) {
      return;
    }
    const peer = this.peers.get(theirs.vmId) ?? this.addPeer(theirs.vmId);
    peer.recordIncomingExchange(this.options.clock.nowMs());
    this.recordHeartbeat(peer, theirs);
  }

  /** @returns the link to the peer whose last heartbeat, however old, has an incarnation */
  linkTo(incarnation: string): PeerLink | undefined {
    for (const { lastHeartbeat, route } of this.peers.values()) {
      if (lastHeartbeat?.heartbeat.incarnation === incarnation && route.kind === 'listed') {
        return route.link;
      }
    }
    return undefined;
  }

  /** Exchanges heartbeats with every peer now; concurrent calls share the exchanges. */
  exchangeHeartbeats(): Promise<void> {
    this.refreshing ??= this.exchangeWithAll().finally(() => {
      this.refreshing = undefined;
    });
    return this.refreshing;
  }

  async close(): Promise<void> {
    this.stop.abort();
    await this.vmList.close();
    await Promise.all([...this.peers.values()].map((peer) => this.removePeer(peer)));
    await Promise.all(this.tasks);
  }

  private trackTask(task: Promise<void>): void {
    this.tasks.add(task);
    void task.then(() => this.tasks.delete(task));
  }

  /** Adds, updates and removes peers by a newly read VM list. */
  private async reconcile(vms: readonly VmRecord[]): Promise<void> {
    this.vms = vms;
    const listed = new Map(vms.map((vm) => [vm.vmId, vm]));
    for (const peer of [...this.peers.values()]) {
      await this.removeIfGone(peer, listed.get(peer.vmId));
    }
    for (const vm of vms) {
      if (vm.vmId !== this.options.vmId && !this.stop.signal.aborted) {
        this.addListed(vm);
      }
    }
    this.peers.forEach((peer) => this.notifyIfChanged(peer));
  }

  /**
   * Removes a peer that is neither listed nor reachable, or whose address has changed. A reachable
   * peer stays without being listed, since the list lags; another address means another VM.
   */
  private async removeIfGone(peer: Peer, vm: VmRecord | undefined): Promise<void> {
    const { route } = peer;
    const hasMoved =
      vm !== undefined && route.kind === 'listed' && route.vm.peerAddress !== vm.peerAddress;
    if (hasMoved || (vm === undefined && this.asMember(peer) === undefined)) {
      await this.removePeer(peer);
    }
  }

  /** Adds or updates a listed peer and opens its link; a VM without an address runs no daemon. */
  private addListed(vm: VmRecord): void {
    if (vm.peerAddress === undefined) {
      return;
    }
    const peer = this.peers.get(vm.vmId) ?? this.addPeer(vm.vmId);
    peer.periodMs = heartbeatPeriodMs(classifyPair(this.options, vm, this.vms));
    peer.isListedLeaving = vm.state === 'leaving';
    if (peer.route.kind === 'unlisted') {
      const link = this.options.connector.connect(vm.peerAddress);
      const route: ListedRoute = { kind: 'listed', vm, link, stop: new AbortController() };
      peer.route = route;
      this.trackTask(this.exchanges.maintainLink(peer, route));
    }
    this.notifyIfChanged(peer);
  }

  private addPeer(vmId: string): Peer {
    const peer = Peer.create(vmId);
    this.peers.set(vmId, peer);
    return peer;
  }

  /** Removes a peer, closes its link and notifies the listeners if it was reachable. */
  private async removePeer(peer: Peer): Promise<void> {
    this.peers.delete(peer.vmId);
    await peer.disconnect();
    if (peer.detectChange(undefined)) {
      this.notify();
    }
  }

  private async exchangeWithAll(): Promise<void> {
    const exchanges = [...this.peers.values()].map(async (peer) => {
      if (peer.route.kind === 'listed') {
        await this.exchanges.exchange(peer, peer.route);
      }
    });
    await Promise.all(exchanges);
  }

  /** Records a heartbeat, unless the VM id shows that another VM has answered. */
  private recordHeartbeat(peer: Peer, heartbeat: Heartbeat): void {
    if (heartbeat.vmId !== peer.vmId) {
      return;
    }
    peer.recordHeartbeat(heartbeat, this.options.clock.nowMs());
    this.notifyIfChanged(peer);
    for (const listener of this.heartbeatListeners) {
      listener(heartbeat);
    }
  }

  /** Logs and notifies the listeners if the peer has changed as a member. */
  private notifyIfChanged(peer: Peer): void {
    const member = this.asMember(peer);
    if (!peer.detectChange(member)) {
      return;
    }
    const { vmId } = peer;
    const message = member === undefined ? 'A peer is unreachable.' : `A peer is ${member.state}.`;
    this.logger.info(message, { vmId });
    this.notify();
  }

  private asMember(peer: Peer): Heartbeat | undefined {
    return peer.member(this.options.clock.nowMs());
  }

  private notify(): void {
    for (const listener of this.listeners) {
      listener();
    }
  }
}
