/**
 * What a daemon knows of one other daemon of the fleet, and the link to it.
 */
import type { FleetLink } from '../ports/fleetPeers.js';
import type { FleetHeartbeat } from './types.js';

export class FleetPeer {
  /** The last heartbeat. */
  heartbeat: FleetHeartbeat | undefined;
  heardAtMs = -Infinity;
  /** Heartbeats that were sent. */
  beatCount = 0;
  readonly stop = new AbortController();

  private constructor(
    readonly address: string,
    readonly link: FleetLink,
    readonly foundAtMs: number,
  ) {}

  static create(address: string, link: FleetLink, nowMs: number): FleetPeer {
    return new FleetPeer(address, link, nowMs);
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
