/**
 * What a daemon knows of one other daemon, and the link to it.
 */
import type { PeerLink } from '../ports/peers.js';
import type { VmRecord } from '../ports/vmList.js';
import type { Heartbeat } from '../types/membership.js';

/** Whether a link to the peer can be opened. */
export type PeerRoute =
  /** The VM list names the address, or did so when it was last read. */
  | {
      readonly kind: 'listed';
      readonly vm: VmRecord;
      readonly link: PeerLink;
      readonly stop: AbortController;
    }
  /** The peer has sent heartbeats, but the VM list does not name it yet. */
  | { readonly kind: 'unlisted' };

/** The last heartbeat of a peer. */
export interface HeardHeartbeat {
  readonly heartbeat: Heartbeat;
  readonly atMs: number;
}

export class Peer {
  route: PeerRoute = { kind: 'unlisted' };
  /** Period of the heartbeats of this pair, in milliseconds. */
  periodMs = 0;
  /** Whether the VM list says that the VM goes. */
  isListedLeaving = false;
  private last: HeardHeartbeat | undefined;
  private calledAtMs = -Infinity;
  private replacedIncarnation: string | undefined;
  private knownAs = '';

  private constructor(readonly vmId: string) {}

  static create(vmId: string): Peer {
    return new Peer(vmId);
  }

  /** @returns the last heartbeat, however old */
  get heard(): HeardHeartbeat | undefined {
    return this.last;
  }

  /**
   * Takes a heartbeat, unless it comes from a process that another one has replaced.
   *
   * @param heartbeat - the heartbeat
   * @param nowMs - monotonic time
   */
  hear(heartbeat: Heartbeat, nowMs: number): void {
    const { incarnation } = heartbeat;
    if (incarnation === this.replacedIncarnation) {
      return;
    }
    const known = this.last?.heartbeat.incarnation;
    if (known !== undefined && known !== incarnation) {
      this.replacedIncarnation = known;
    }
    this.last = { heartbeat, atMs: nowMs };
  }

  /** Notes that the peer itself began an exchange. */
  noteCall(nowMs: number): void {
    this.calledAtMs = nowMs;
  }

  /** Tells how long ago the peer began an exchange, in milliseconds. */
  sinceCalledMs(nowMs: number): number {
    return nowMs - this.calledAtMs;
  }

  /**
   * Tells what is known of the peer as a member.
   *
   * @param nowMs - monotonic time
   * @param unheardAfterMs - age at which a heartbeat no longer counts
   * @returns its heartbeat, with the state that the VM list gives where that goes further
   */
  member(nowMs: number, unheardAfterMs: number): Heartbeat | undefined {
    if (this.last === undefined || nowMs - this.last.atMs >= unheardAfterMs) {
      return undefined;
    }
    const { heartbeat } = this.last;
    return this.isListedLeaving ? { ...heartbeat, state: 'leaving' } : heartbeat;
  }

  /**
   * Tells whether what decides the placement has changed since the last call.
   *
   * @param member - what is known of the peer now
   */
  hasChanged(member: Heartbeat | undefined): boolean {
    const knownAs =
      member === undefined
        ? ''
        : [member.incarnation, member.state, member.weight, member.failureDomainId].join(' ');
    const changed = knownAs !== this.knownAs;
    this.knownAs = knownAs;
    return changed;
  }

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
