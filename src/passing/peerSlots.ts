/**
 * What is known of the free slots of the peers: the last heartbeat or answer, less what was sent
 * since.
 */
import type { PeerSet } from '../membership/peerSet.js';
import type { Heartbeat } from '../types/membership.js';
import { RunTimes } from '../placement/runTimes.js';
import type { Operation } from '../types/inventory.js';

/** A peer with free slots. */
export interface PeerOffer {
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
  private readonly freeListeners: (() => void)[] = [];
  private readonly runTimes = RunTimes.create();

  private constructor(private readonly options: PeerSlotsOptions) {
    options.peers.onHeartbeat((heartbeat) => this.hear(heartbeat));
    options.peers.onChange(() => this.prune());
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
  best(operation: Operation, typicalMs: number, area: 'own' | 'other'): PeerOffer | undefined {
    let best: PeerOffer | undefined;
    for (const [incarnation, { heartbeat, freeSlots }] of this.known) {
      const isOwn = heartbeat.failureDomainId === this.options.failureDomainId;
      if (freeSlots <= 0 || heartbeat.state !== 'active' || isOwn !== (area === 'own')) {
        continue;
      }
      const expectedMs = this.runTimes.observedMs(incarnation, operation) ?? typicalMs;
      if (best === undefined || expectedMs < best.expectedMs) {
        best = { incarnation, expectedMs };
      }
    }
    return best;
  }

  /**
   * Calls a listener when a peer says that it has free slots.
   *
   * @param listener - the listener
   */
  onFree(listener: () => void): void {
    this.freeListeners.push(listener);
  }

  /** Counts a task that goes to a peer. */
  reserve(incarnation: string): void {
    const peer = this.known.get(incarnation);
    if (peer !== undefined) {
      peer.freeSlots -= 1;
    }
  }

  /** Takes a newer number of free slots. */
  setFree(incarnation: string, freeSlots: number): void {
    const peer = this.known.get(incarnation);
    if (peer !== undefined) {
      peer.freeSlots = freeSlots;
    }
  }

  /** Notes how long a passed task took, in milliseconds. */
  observe(incarnation: string, operation: Operation, elapsedMs: number): void {
    this.runTimes.observe(incarnation, operation, elapsedMs);
  }

  private hear(heartbeat: Heartbeat): void {
    this.known.set(heartbeat.incarnation, { heartbeat, freeSlots: heartbeat.freeSlots });
    if (heartbeat.freeSlots > 0) {
      this.freeListeners.forEach((listener) => listener());
    }
  }

  private prune(): void {
    const heard = new Set(this.options.peers.heard().map(({ incarnation }) => incarnation));
    for (const incarnation of this.known.keys()) {
      if (!heard.has(incarnation)) {
        this.known.delete(incarnation);
        this.runTimes.forget(incarnation);
      }
    }
  }
}
