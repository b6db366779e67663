/**
 * The other daemons: one async function keeps the link to each and exchanges heartbeats.
 */
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { PeerConnector, PeerLink } from '../ports/peers.js';
import type { VmList, VmRecord } from '../ports/vmList.js';
import type { Heartbeat } from './types.js';

const heartbeatPeriodMs = 1_000;
const heartbeatTimeoutMs = 1_000;
const vmListPeriodMs = 1_000;
/** A peer that was not heard for this long counts as gone. */
const unheardAfterMs = 3_000;

export interface PeerSetOptions {
  readonly vmId: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly vmList: VmList;
  readonly connector: PeerConnector;
  /** Composes this daemon's own heartbeat. */
  readonly ownHeartbeat: () => Heartbeat;
}

/** One peer and what it last said. */
interface Peer {
  readonly vm: VmRecord;
  readonly link: PeerLink;
  readonly stop: AbortController;
  heard: { readonly heartbeat: Heartbeat; readonly atMs: number } | undefined;
}

export type MembershipListener = () => void;

export class PeerSet {
  private readonly peers = new Map<string, Peer>();
  private readonly tasks = new Set<Promise<void>>();
  private readonly stop = new AbortController();
  private readonly listeners: MembershipListener[] = [];
  private readonly logger: Logger;

  private constructor(private readonly options: PeerSetOptions) {
    this.logger = options.logger.forPart('membership');
  }

  static create(options: PeerSetOptions): PeerSet {
    const peers = new PeerSet(options);
    peers.keep(peers.followVmList());
    return peers;
  }

  /** @returns the last heartbeat of every peer heard of late */
  heard(): Heartbeat[] {
    const nowMs = this.options.clock.nowMs();
    return [...this.peers.values()].flatMap(({ heard }) =>
      heard !== undefined && nowMs - heard.atMs < unheardAfterMs ? [heard.heartbeat] : [],
    );
  }

  /**
   * Calls a listener whenever a peer may have come, gone or changed its state.
   *
   * @param listener - the listener
   */
  onChange(listener: MembershipListener): void {
    this.listeners.push(listener);
  }

  /**
   * Finds the link to an incarnation.
   *
   * @param incarnation - the daemon process
   * @returns the link to the peer that last said it was this incarnation
   */
  linkTo(incarnation: string): PeerLink | undefined {
    return [...this.peers.values()].find(
      ({ heard }) => heard?.heartbeat.incarnation === incarnation,
    )?.link;
  }

  async close(): Promise<void> {
    this.stop.abort();
    await Promise.all([...this.peers.keys()].map((vmId) => this.drop(vmId)));
    await Promise.all(this.tasks);
  }

  private keep(task: Promise<void>): void {
    this.tasks.add(task);
    void task.then(() => this.tasks.delete(task));
  }

  private async followVmList(): Promise<void> {
    const { vmList, clock } = this.options;
    while (!this.stop.signal.aborted) {
      const listed = await vmList.list(this.stop.signal);
      if (listed.isOk()) {
        await this.reconcile(listed.value);
      }
      await clock.sleep(vmListPeriodMs, this.stop.signal);
    }
  }

  private async reconcile(vms: readonly VmRecord[]): Promise<void> {
    const listed = new Map(vms.map((vm) => [vm.vmId, vm]));
    for (const [vmId, peer] of this.peers) {
      if (listed.get(vmId)?.peerAddress !== peer.vm.peerAddress) {
        await this.drop(vmId);
      }
    }
    for (const vm of vms) {
      if (vm.vmId !== this.options.vmId && !this.peers.has(vm.vmId)) {
        this.add(vm);
      }
    }
  }

  private add(vm: VmRecord): void {
    const link = this.options.connector.connect(vm.peerAddress);
    const peer: Peer = { vm, link, stop: new AbortController(), heard: undefined };
    this.peers.set(vm.vmId, peer);
    this.keep(this.keepPeer(peer));
  }

  private async drop(vmId: string): Promise<void> {
    const peer = this.peers.get(vmId);
    if (peer === undefined) {
      return;
    }
    this.peers.delete(vmId);
    peer.stop.abort();
    await peer.link.close();
    this.notify();
  }

  private async keepPeer(peer: Peer): Promise<void> {
    const { clock, ownHeartbeat } = this.options;
    while (!peer.stop.signal.aborted) {
      const timeout = AbortSignal.any([peer.stop.signal, AbortSignal.timeout(heartbeatTimeoutMs)]);
      const reply = await peer.link.heartbeat(ownHeartbeat(), timeout);
      if (reply.isOk()) {
        this.hear(peer, reply.value);
      }
      this.notify();
      await clock.sleep(heartbeatPeriodMs, peer.stop.signal);
    }
  }

  private hear(peer: Peer, heartbeat: Heartbeat): void {
    if (peer.heard?.heartbeat.incarnation !== heartbeat.incarnation) {
      this.logger.info('A peer is a member.', { vmId: peer.vm.vmId });
    }
    peer.heard = { heartbeat, atMs: this.options.clock.nowMs() };
  }

  private notify(): void {
    for (const listener of this.listeners) {
      listener();
    }
  }
}
