/**
 * Estimates the free slots of the peers: the number in the last heartbeat or answer, minus the
 * tasks that were offloaded since.
 */
import type { PeerSet } from '../membership/peerSet.js';
import type { Heartbeat } from '../types/membership.js';
import { RunTimes } from '../placement/runTimes.js';
import type { Operation } from '../types/inventory.js';

/** A peer with free slots to which a task may be offloaded. */
export interface PeerCandidate {
  readonly incarnation: string;
  /** Expected time in which the peer completes the task, without the messages, in milliseconds. */
  readonly expectedMs: number;
}

/** A reachable peer. */
interface KnownPeer {
  /** Its last heartbeat. */
  heartbeat: Heartbeat;
  /** Estimated number of its free slots. */
  freeSlots: number;
}

export interface PeerSlotsOptions {
  /** Failure domain of this daemon. */
  readonly failureDomainId: string;
  readonly peers: Pick<PeerSet, 'reachablePeers' | 'onChange' | 'onHeartbeat'>;
}

export class PeerSlots {
  /** Peers by incarnation. */
  private readonly known = new Map<string, KnownPeer>();
  private readonly freeSlotListeners: (() => void)[] = [];
  private readonly runTimes = RunTimes.create();

  private constructor(private readonly options: PeerSlotsOptions) {
    options.peers.onHeartbeat((heartbeat) => this.recordHeartbeat(heartbeat));
    options.peers.onChange(() => this.removeUnreachable());
  }

  static create(options: PeerSlotsOptions): PeerSlots {
    return new PeerSlots(options);
  }

  /**
   * Finds the active peer with a free slot that is expected to complete a task first.
   *
   * @param operation - operation of the task
   * @param typicalMs - run time to expect at a peer that has not run the operation yet, in
   *   milliseconds
   * @param area - whether to search this failure domain, or the others
   * @returns the peer, or undefined if none has a free slot
   */
  fastest(
    operation: Operation,
    typicalMs: number,
    area: 'own' | 'other',
  ): PeerCandidate | undefined {
    let fastest: PeerCandidate | undefined;
    for (const [incarnation, { heartbeat, freeSlots }] of this.known) {
      const isOwn = heartbeat.failureDomainId === this.options.failureDomainId;
      if (freeSlots <= 0 || heartbeat.state !== 'active' || isOwn !== (area === 'own')) {
        continue;
      }
      const expectedMs = this.runTimes.observedMs(incarnation, operation) ?? typicalMs;
      if (fastest === undefined || expectedMs < fastest.expectedMs) {
        fastest = { incarnation, expectedMs };
      }
    }
    return fastest;
  }

  /**
   * Registers a listener that is called when the heartbeat of a peer reports free slots.
   *
   * @param listener - the listener
   */
  onFreeSlots(listener: () => void): void {
    this.freeSlotListeners.push(listener);
  }

  /** Subtracts one free slot of a peer, for a task that is offloaded to it. */
  reserveSlot(incarnation: string): void {
    const peer = this.known.get(incarnation);
    if (peer !== undefined) {
      peer.freeSlots -= 1;
    }
  }

  /** Sets the number of free slots of a peer. */
  setFreeSlots(incarnation: string, freeSlots: number): void {
    const peer = this.known.get(incarnation);
    if (peer !== undefined) {
      peer.freeSlots = freeSlots;
    }
  }

  /** Records the time from arrival to end of a task at a peer, in milliseconds. */
  recordRunTime(incarnation: string, operation: Operation, elapsedMs: number): void {
    this.runTimes.record(incarnation, operation, elapsedMs);
  }

  private recordHeartbeat(heartbeat: Heartbeat): void {
    this.known.set(heartbeat.incarnation, { heartbeat, freeSlots: heartbeat.freeSlots });
    if (heartbeat.freeSlots > 0) {
      this.freeSlotListeners.forEach((listener) => listener());
    }
  }

  /** Removes the peers that are no longer reachable, with their run times. */
  private removeUnreachable(): void {
    const reachable = new Set(
      this.options.peers.reachablePeers().map(({ incarnation }) => incarnation),
    );
    for (const incarnation of this.known.keys()) {
      if (!reachable.has(incarnation)) {
        this.known.delete(incarnation);
        this.runTimes.removeExecutor(incarnation);
      }
    }
  }
}
