/**
 * What a daemon knows of one other daemon of the fleet, and the link to it.
 */
import type { FleetLink } from '../ports/fleetPeers.js';
import type { FleetHeartbeat, KnownMember } from '../types/fleet.js';

export class FleetPeer {
  /** The last heartbeat. */
  heartbeat: FleetHeartbeat | undefined;
  heardAtMs = -Infinity;
  /** When the peer last began an exchange. */
  calledAtMs = -Infinity;
  /** When somebody last said that there is such a daemon. */
  namedAtMs: number;
  /** Whether its silence was noticed. */
  isSilent = false;
  /** Heartbeats without an answer since it was heard last. */
  failures = 0;
  /** Heartbeats that were sent. */
  beatCount = 0;
  readonly stop = new AbortController();

  private constructor(
    readonly known: KnownMember,
    readonly link: FleetLink,
    /** Among the possible contacts of this daemon. */
    readonly rank: number,
    nowMs: number,
  ) {
    this.namedAtMs = nowMs;
  }

  static create(known: KnownMember, link: FleetLink, rank: number, nowMs: number): FleetPeer {
    return new FleetPeer(known, link, rank, nowMs);
  }

  get address(): string {
    return this.known.address;
  }

  get failureDomainId(): string {
    return this.known.failureDomainId;
  }

  /** @returns incarnation of the process that was heard last */
  get incarnation(): string | undefined {
    return this.heartbeat?.member.incarnation;
  }

  /**
   * Tells whether the peer was heard of late.
   *
   * @param nowMs - monotonic time
   * @param maxSilenceMs - longest time without a heartbeat
   */
  isHeard(nowMs: number, maxSilenceMs: number): boolean {
    return nowMs - this.heardAtMs <= maxSilenceMs;
  }

  async close(): Promise<void> {
    this.stop.abort();
    await this.link.close();
  }
}
