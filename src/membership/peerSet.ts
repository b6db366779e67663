/**
 * The other daemons: one async function keeps the link to each and exchanges heartbeats.
 */
import type { DomainMembers } from '../types/limits.js';
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { PeerConnector, PeerLink } from '../ports/peers.js';
import type { VmList, VmRecord } from '../ports/vmList.js';
import { listDomainMembers } from './domainMembers.js';
import { periodOf, relate, unheardPeriods } from './heartbeatPeriod.js';
import { Peer } from './peer.js';
import type { PeerRoute } from './peer.js';
import { rankOwner } from './rendezvous.js';
import type { Heartbeat } from '../types/membership.js';
import { VmListFollower } from './vmListFollower.js';

const heartbeatTimeoutMs = 1_000;
/** Pause between tries to reach a peer that is not heard. */
const retryPeriodMs = 5_000;
/** The peer whose turn it is may miss this many periods before this daemon calls. */
const missedPeriods = 2;

export interface PeerSetOptions {
  readonly vmId: string;
  readonly failureDomainId: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly vmList: VmList;
  readonly connector: PeerConnector;
  /** Composes this daemon's own heartbeat. */
  readonly ownHeartbeat: () => Heartbeat;
  /** Composes the heartbeat that is sent to a peer. */
  readonly sentHeartbeat: () => Heartbeat;
}

export type MembershipListener = () => void;
export type HeartbeatListener = (heartbeat: Heartbeat) => void;
type ListedRoute = Extract<PeerRoute, { kind: 'listed' }>;

export class PeerSet {
  private readonly peers = new Map<string, Peer>();
  private readonly tasks = new Set<Promise<void>>();
  private readonly stop = new AbortController();
  private readonly listeners: MembershipListener[] = [];
  private readonly heartbeatListeners: HeartbeatListener[] = [];
  private readonly logger: Logger;
  private readonly vmList: VmListFollower;
  private refreshing: Promise<void> | undefined;
  private vms: readonly VmRecord[] = [];

  private constructor(private readonly options: PeerSetOptions) {
    this.logger = options.logger.forPart('membership');
    this.vmList = VmListFollower.create({
      clock: options.clock,
      vmList: options.vmList,
      onList: (vms) => this.reconcile(vms),
      onLeavingChange: () => this.notify(),
    });
  }

  static create(options: PeerSetOptions): PeerSet {
    return new PeerSet(options);
  }

  /** @returns the last heartbeat of every peer heard of late */
  heard(): Heartbeat[] {
    return [...this.peers.values()].flatMap((peer) => this.memberOf(peer) ?? []);
  }

  /** @returns the VMs that the VM list names and whose daemons are not heard */
  unheardVmIds(): string[] {
    return [...this.peers.values()].flatMap((peer) =>
      this.memberOf(peer) === undefined ? [peer.vmId] : [],
    );
  }

  /** @returns the daemons of this failure domain that the VM list names or that are heard */
  domainMembers(): DomainMembers {
    return listDomainMembers(this.options, this.vms, this.heard());
  }

  /**
   * Tells whether the VM list says that a VM goes.
   *
   * @param vmId - a VM of the system, or of an endpoint
   */
  isLeaving(vmId: string): boolean {
    return this.vmList.isLeaving(vmId);
  }

  /**
   * Counts the members that go before this daemon for a duty that one of them has.
   *
   * @param duty - name of the duty
   */
  rankOf(duty: string): number {
    return rankOwner(duty, this.options.ownHeartbeat(), this.heard());
  }

  /**
   * Calls a listener whenever a member comes, goes, or changes its state or weight.
   *
   * @param listener - the listener
   */
  onChange(listener: MembershipListener): void {
    this.listeners.push(listener);
  }

  /**
   * Calls a listener with every heartbeat.
   *
   * @param listener - the listener
   */
  onHeartbeat(listener: HeartbeatListener): void {
    this.heartbeatListeners.push(listener);
  }

  /**
   * Takes the heartbeat of a peer that began an exchange.
   *
   * @param theirs - its heartbeat
   */
  receive(theirs: Heartbeat): void {
    if (theirs.vmId === this.options.vmId || this.stop.signal.aborted) {
      return;
    }
    const peer = this.peers.get(theirs.vmId) ?? this.addPeer(theirs.vmId);
    peer.noteCall(this.options.clock.nowMs());
    this.hear(peer, theirs);
  }

  /**
   * Finds the link to an incarnation.
   *
   * @param incarnation - the daemon process
   * @returns the link to the peer that last said it was this incarnation
   */
  linkTo(incarnation: string): PeerLink | undefined {
    return this.routeTo(incarnation)?.link;
  }

  /** Exchanges heartbeats with every peer now; calls at the same time share the exchanges. */
  refresh(): Promise<void> {
    this.refreshing ??= this.exchangeWithAll().finally(() => {
      this.refreshing = undefined;
    });
    return this.refreshing;
  }

  async close(): Promise<void> {
    this.stop.abort();
    await this.vmList.close();
    await Promise.all([...this.peers.values()].map((peer) => this.drop(peer)));
    await Promise.all(this.tasks);
  }

  private keep(task: Promise<void>): void {
    this.tasks.add(task);
    void task.then(() => this.tasks.delete(task));
  }

  private async reconcile(vms: readonly VmRecord[]): Promise<void> {
    this.vms = vms;
    const listed = new Map(vms.map((vm) => [vm.vmId, vm]));
    for (const peer of [...this.peers.values()]) {
      await this.dropIfGone(peer, listed.get(peer.vmId));
    }
    for (const vm of vms) {
      if (vm.vmId !== this.options.vmId && !this.stop.signal.aborted) {
        this.addListed(vm);
      }
    }
    this.peers.forEach((peer) => this.noteChange(peer));
  }

  /** A peer that is still heard stays, since the list lags; another address is another VM. */
  private async dropIfGone(peer: Peer, vm: VmRecord | undefined): Promise<void> {
    const { route } = peer;
    const hasMoved =
      vm !== undefined && route.kind === 'listed' && route.vm.peerAddress !== vm.peerAddress;
    if (hasMoved || (vm === undefined && this.memberOf(peer) === undefined)) {
      await this.drop(peer);
    }
  }

  private addListed(vm: VmRecord): void {
    if (vm.peerAddress === undefined) {
      return;
    }
    const peer = this.peers.get(vm.vmId) ?? this.addPeer(vm.vmId);
    peer.periodMs = periodOf(relate(this.options, vm, this.vms));
    peer.isListedLeaving = vm.state === 'leaving';
    if (peer.route.kind === 'unlisted') {
      const link = this.options.connector.connect(vm.peerAddress);
      const route: ListedRoute = { kind: 'listed', vm, link, stop: new AbortController() };
      peer.route = route;
      this.keep(this.keepPeer(peer, route));
    }
    this.noteChange(peer);
  }

  private addPeer(vmId: string): Peer {
    const peer = Peer.create(vmId);
    this.peers.set(vmId, peer);
    return peer;
  }

  private async drop(peer: Peer): Promise<void> {
    this.peers.delete(peer.vmId);
    await peer.disconnect();
    if (peer.hasChanged(undefined)) {
      this.notify();
    }
  }

  /** Keeps the link to one peer: greets it, then exchanges heartbeats whenever it is the turn. */
  private async keepPeer(peer: Peer, route: ListedRoute): Promise<void> {
    const { clock } = this.options;
    const { signal } = route.stop;
    await this.exchange(peer, route);
    while (!signal.aborted) {
      const isHeard = this.memberOf(peer) !== undefined;
      const pauseMs = isHeard ? peer.periodMs : Math.min(peer.periodMs, retryPeriodMs);
      await clock.sleep(pauseMs, signal);
      if (this.hasTurn(peer)) {
        await this.exchange(peer, route);
      }
      this.noteChange(peer);
    }
  }

  private async exchangeWithAll(): Promise<void> {
    const exchanges = [...this.peers.values()].map(async (peer) => {
      if (peer.route.kind === 'listed') {
        await this.exchange(peer, peer.route);
      }
    });
    await Promise.all(exchanges);
  }

  /** The daemon with the lower name calls; the other one does where no call comes. */
  private hasTurn(peer: Peer): boolean {
    const sinceCalledMs = peer.sinceCalledMs(this.options.clock.nowMs());
    return this.options.vmId < peer.vmId || sinceCalledMs >= missedPeriods * peer.periodMs;
  }

  private async exchange(peer: Peer, { link, stop }: ListedRoute): Promise<void> {
    if (stop.signal.aborted) {
      return;
    }
    const timeout = AbortSignal.any([stop.signal, AbortSignal.timeout(heartbeatTimeoutMs)]);
    const reply = await link.heartbeat(this.options.sentHeartbeat(), timeout);
    if (reply.isOk()) {
      this.hear(peer, reply.value);
    }
  }

  private hear(peer: Peer, heartbeat: Heartbeat): void {
    if (heartbeat.vmId !== peer.vmId) {
      return;
    }
    peer.hear(heartbeat, this.options.clock.nowMs());
    this.noteChange(peer);
    for (const listener of this.heartbeatListeners) {
      listener(heartbeat);
    }
  }

  private noteChange(peer: Peer): void {
    const member = this.memberOf(peer);
    if (!peer.hasChanged(member)) {
      return;
    }
    const { vmId } = peer;
    const sentence = member === undefined ? 'A peer is not heard.' : `A peer is ${member.state}.`;
    this.logger.info(sentence, { vmId });
    this.notify();
  }

  private memberOf(peer: Peer): Heartbeat | undefined {
    const periodMs = peer.periodMs === 0 ? retryPeriodMs : peer.periodMs;
    return peer.member(this.options.clock.nowMs(), unheardPeriods * periodMs);
  }

  private routeTo(incarnation: string): ListedRoute | undefined {
    for (const { heard, route } of this.peers.values()) {
      if (heard?.heartbeat.incarnation === incarnation && route.kind === 'listed') {
        return route;
      }
    }
    return undefined;
  }

  private notify(): void {
    for (const listener of this.listeners) {
      listener();
    }
  }
}
