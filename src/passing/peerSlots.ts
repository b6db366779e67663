/**
 * What is known of the free slots of the peers: the last heartbeat or answer, less what was sent
 * since.
 */
import type { PeerSet } from '../membership/peerSet.js';
import type { Heartbeat } from '../types/membership.js';
import { RunTimes } from '../placement/runTimes.js';
import type { Operation } from '../types/inventory.js';

/** A peer with free slots. */
export interface PeerCandidate {
  readonly incarnation: string;
  /** Expected time from sending a task to its end, in milliseconds. */
  readonly expectedMs: number;
}

interface KnownPeer {
  heartbeat: Heartbeat;
  freeSlots: number;
}

export interface PeerSlotsOptions {
  readonly failureDomainId: string;
  readonly peers: Pick<PeerSet, 'heard' | 'onChange' | 'onHeartbeat'>;
}

export class PeerSlots {
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
   * Finds the peer that is expected to complete a task first.
   *
   * @param operation - what the task runs
   * @param typicalMs - run time at a peer that was not tried yet, in milliseconds
   * @param area - peers of this failure domain, or of the others
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
   * Calls a listener when a peer says that it has free slots.
   *
   * @param listener - the listener
   */
  onFreeSlots(listener: () => void): void {
    this.freeSlotListeners.push(listener);
  }

  /** Counts a task that goes to a peer. */
  reserveSlot(incarnation: string): void {
    const peer = this.known.get(incarnation);
    if (peer !== undefined) {
      peer.freeSlots -= 1;
    }
  }

  /** Takes a newer number of free slots. */
  setFreeSlots(incarnation: string, freeSlots: number): void {
    const peer = this.known.get(incarnation);
    if (peer !== undefined) {
      peer.freeSlots = freeSlots;
    }
  }

  /** Notes how long a passed task took, in milliseconds. */
  recordRunTime(incarnation: string, operation: Operation, elapsedMs: number): void {
    this.runTimes.observe(incarnation, operation, elapsedMs);
  }

  private recordHeartbeat(heartbeat: Heartbeat): void {
    this.known.set(heartbeat.incarnation, { heartbeat, freeSlots: heartbeat.freeSlots });
    if (heartbeat.freeSlots > 0) {
      this.freeSlotListeners.forEach((listener) => listener());
    }
  }

  private removeUnreachable(): void {
    const heard = new Set(this.options.peers.heard().map(({ incarnation }) => incarnation));
    for (const incarnation of this.known.keys()) {
      if (!heard.has(incarnation)) {
        this.known.delete(incarnation);
        this.runTimes.removeExecutor(incarnation);
      }
    }
  }
}
