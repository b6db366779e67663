/**
 * The state that a daemon keeps of one other daemon: its last heartbeat and the link to it.
 */
import type { PeerLink } from '../ports/peers.js';
import type { VmRecord } from '../ports/vmList.js';
import type { Heartbeat } from '../types/membership.js';
import { retryPeriodMs, unreachableAfterPeriods } from './heartbeatPeriod.js';

/** Whether there is a link to the peer. */
export type PeerRoute =
  /** The VM list names the peer's address, or did so earlier. */
  | {
      readonly kind: 'listed';
      readonly vm: VmRecord;
      readonly link: PeerLink;
      /** Ends the async function that maintains the link. */
      readonly stop: AbortController;
    }
  /** The peer has sent heartbeats, but the VM list does not name it yet. */
  | { readonly kind: 'unlisted' };

/** The route of a peer that has a link. */
export type ListedRoute = Extract<PeerRoute, { kind: 'listed' }>;

/** A heartbeat with its time of arrival. */
export interface ReceivedHeartbeat {
  readonly heartbeat: Heartbeat;
  /** Monotonic time. */
  readonly receivedAtMs: number;
}

export class Peer {
  route: PeerRoute = { kind: 'unlisted' };
  /** Heartbeat period of this pair; 0 until the VM list names the peer. */
  periodMs = 0;
  /** Whether the VM list marks the VM as leaving. */
  isListedLeaving = false;
  private lastReceived: ReceivedHeartbeat | undefined;
  private lastIncomingExchangeAtMs = -Infinity;
  /** The incarnation before the present one; its late heartbeats are ignored. */
  private replacedIncarnation: string | undefined;
  /** What placement depends on, as text, at the last call of `detectChange`. */
  private lastPlacementKey = '';

  private constructor(readonly vmId: string) {}

  static create(vmId: string): Peer {
    return new Peer(vmId);
  }

  /** @returns the last heartbeat with its arrival, however old; undefined before the first */
  get lastHeartbeat(): ReceivedHeartbeat | undefined {
    return this.lastReceived;
  }

  /**
   * Records a heartbeat, unless it comes from a process that has been replaced by another one.
   *
   * @param heartbeat - the heartbeat
   * @param nowMs - monotonic time
   */
  recordHeartbeat(heartbeat: Heartbeat, nowMs: number): void {
    const { incarnation } = heartbeat;
    if (incarnation === this.replacedIncarnation) {
      return;
    }
    const previous = this.lastReceived?.heartbeat.incarnation;
    if (previous !== undefined && previous !== incarnation) {
      this.replacedIncarnation = previous;
    }
    this.lastReceived = { heartbeat, receivedAtMs: nowMs };
  }

  /** Records that the peer started an exchange of heartbeats now. */
  recordIncomingExchange(nowMs: number): void {
    this.lastIncomingExchangeAtMs = nowMs;
  }

  /** @returns milliseconds since the peer last started an exchange; infinite if it never did */
  sinceIncomingExchangeMs(nowMs: number): number {
    return nowMs - this.lastIncomingExchangeAtMs;
  }

  /**
   * Returns the peer as a member. A peer that the VM list does not name has no period yet, so that
   * the period of attempts to reach it counts.
   *
   * @param nowMs - monotonic time
   * @returns its last heartbeat, with state `leaving` if the VM list marks it so; undefined while
   * the peer is unreachable
   */
  member(nowMs: number): Heartbeat | undefined {
    const periodMs = this.periodMs === 0 ? retryPeriodMs : this.periodMs;
    if (
      this.lastReceived === undefined ||
      nowMs - this.lastReceived.receivedAtMs >= unreachableAfterPeriods * periodMs
    ) {
      return undefined;
    }
    const { heartbeat } = this.lastReceived;
    return this.isListedLeaving ? { ...heartbeat, state: 'leaving' } : heartbeat;
  }

  /**
   * Checks whether any field that placement depends on has changed since the last call, and
   * remembers the present ones.
   *
   * @param member - the peer as a member now; undefined while it is unreachable
   */
  detectChange(member: Heartbeat | undefined): boolean {
    const placementKey =
      member === undefined
        ? ''
        : [member.incarnation, member.state, member.weight, member.failureDomainId].join(' ');
    const hasChanged = placementKey !== this.lastPlacementKey;
    this.lastPlacementKey = placementKey;
    return hasChanged;
  }

  /** Closes the link, if there is one, and ends the function that maintains it. */
  async disconnect(): Promise<void> {
    const { route } = this;
    if (route.kind === 'unlisted') {
      return;
    }
    this.route = { kind: 'unlisted' };
    route.stop.abort();
    await route.link.close();
  }
}
