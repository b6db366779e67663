/**
 * State that a daemon keeps of another daemon of the fleet, and the link to it. Times are in
 * milliseconds on this process's monotonic clock.
 */
import type { FleetLink } from '../ports/fleetPeers.js';
import type { FleetHeartbeat, KnownMember } from '../types/fleet.js';
import { abortQuietly } from '../utils/abortQuietly.js';

/** What shows that the process that was last heard at an address has ended. */
export interface ProcessEnd {
  /** `refused`: no process listens at its address; `replaced`: another one answers there. */
  readonly shownBy: 'refused' | 'replaced';
  /** When this was found first: the process has said nothing after it. */
  readonly foundAtMs: number;
}

/** What was known when something was sent to a peer. */
export interface SentToPeer {
  /** The process that was heard there last. */
  readonly incarnation: string | undefined;
  readonly sentAtMs: number;
}

export class FleetPeer {
  /** The last heartbeat that was received. */
  heartbeat: FleetHeartbeat | undefined;
  /** When the peer last sent a heartbeat of its own accord, not in answer to one. */
  lastInboundHeartbeatAtMs = -Infinity;
  /** When the store or another daemon last listed the peer. */
  lastListedAtMs: number;
  /** Whether the peer was reported as lost since its last heartbeat. */
  isMarkedUnreachable = false;
  /** Whether another process was heard at the address, so that an answer has to show which one is there. */
  isDisputed = false;
  /** Whether something has to be told to the peer at once, which the last heartbeat to it did not state. */
  hasNews = false;
  /** Number of heartbeats without an answer since the last one that was received. */
  unansweredHeartbeats = 0;
  /** When the last heartbeat was sent to the peer. */
  lastSentAtMs = -Infinity;
  /** When the peer last sent a heartbeat or another message. */
  private contactAtMs = -Infinity;
  /** What has shown first, since the last message, that its process has ended. */
  private foundEnd: ProcessEnd | undefined;
  /** When this daemon last sent a batch to the peer while it had none there. */
  private sharingStartedAtMs = -Infinity;
  /** When the last full heartbeat was sent to the peer. */
  lastFullHeartbeatAtMs = -Infinity;
  /** Ends the exchange of heartbeats with the peer. */
  readonly stop = new AbortController();
  private pause = new AbortController();

  private constructor(
    /** Address and failure domain, known before the first heartbeat. */
    readonly known: KnownMember,
    readonly link: FleetLink,
    /** Rank among the possible contacts of this daemon; lower ones are preferred. */
    readonly contactRank: number,
    nowMs: number,
  ) {
    this.lastListedAtMs = nowMs;
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

  /** @returns incarnation of the process that sent the last heartbeat */
  get incarnation(): string | undefined {
    return this.heartbeat?.member.incarnation;
  }

  get lastContactAtMs(): number {
    return this.contactAtMs;
  }

  /**
   * What shows that its process has ended, if anything does. Silence shows nothing: behind a cut the process lives on, and
   * starts and renews runs.
   */
  get end(): ProcessEnd | undefined {
    return this.foundEnd;
  }

  /** Begins a pause between heartbeats, which ends when the signal is aborted: by news, or when the exchange ends. */
  beginPause(): AbortSignal {
    this.pause = new AbortController();
    return this.pause.signal;
  }

  /** Has a heartbeat sent at once, if heartbeats are sent to the peer. */
  tellNews(): void {
    this.hasNews = true;
    abortQuietly(this.pause);
  }

  /** Records a message of the peer. */
  recordContact(sentAtMs: number): void {
    this.contactAtMs = Math.max(this.contactAtMs, sentAtMs);
    this.foundEnd = undefined;
  }

  /** Records that the process has answered something other than a heartbeat. */
  recordAnswer(): void {
    this.foundEnd = undefined;
  }

  /** Returns what is known of the peer when something is sent to it. */
  describeSent(nowMs: number): SentToPeer {
    return { incarnation: this.incarnation, sentAtMs: nowMs };
  }

  /**
   * Records that the process has ended, unless a message has come meanwhile, which may be the newer one of the two.
   *
   * @param shownBy - what has shown it
   * @param sent - what was known when this daemon sent what had this result
   * @param nowMs - the current monotonic time
   */
  recordEnd(shownBy: ProcessEnd['shownBy'], sent: SentToPeer, nowMs: number): void {
    if (sent.incarnation === this.incarnation && this.contactAtMs <= sent.sentAtMs) {
      this.foundEnd ??= { shownBy, foundAtMs: nowMs };
    }
  }

  get sharingSinceMs(): number {
    return this.sharingStartedAtMs;
  }

  /** Records that this daemon is about to have batches at the peer. */
  beginSharing(nowMs: number): void {
    this.sharingStartedAtMs = nowMs;
  }

  /** Whether the peer dispatches to workers, by its last heartbeat. */
  get isDispatching(): boolean {
    return (this.heartbeat?.load.workers.length ?? 0) > 0;
  }

  /**
   * Checks whether the peer sent a message recently.
   *
   * @param nowMs - the current monotonic time
   * @param maxSilenceMs - longest time since the last message
   */
  hadContactWithin(nowMs: number, maxSilenceMs: number): boolean {
    return nowMs - this.lastContactAtMs <= maxSilenceMs;
  }

  /**
   * Whether the peer has left as it announced, so that it has no jobs.
   *
   * @param nowMs - the current monotonic time
   * @param stopGraceMs - longest time for which a daemon that leaves keeps its jobs
   */
  hasLeft(nowMs: number, stopGraceMs: number): boolean {
    return this.heartbeat?.isLeaving === true && !this.hadContactWithin(nowMs, stopGraceMs);
  }

  async close(): Promise<void> {
    this.stop.abort();
    abortQuietly(this.pause);
    await this.link.close();
  }
}
