/**
 * A requester has its runs at this dispatcher by a lease: it ends a bounded time after the last
 * message that the requester's process itself has sent, counted from the sending. Nothing that this daemon
 * does on its own renews it, neither what it sends nor what it plans. Whether the requester is reachable as
 * a dispatcher is another question (`fleet/peerRelations`).
 */
import { RecentNames } from '../utils/recentNames.js';
import type { MessageAges } from './messageAges.js';
import { maxSharingSilenceMs } from './requesterTimes.js';

/** Most processes that are remembered; the one that was silent for longest is forgotten first. */
const maxProcesses = 1_024;

/**
 * What is known of a requester's lease. `silent`: its last message is too old, or there was none.
 * `replaced`: another process has taken its place, so that it has ended for good.
 */
export type RequesterLease = 'held' | 'silent' | 'replaced';

/** The newest message of a process. */
interface LastMessage {
  /** Time of its receipt, on the clock of `MessageAges`. */
  readonly receivedAtMs: number;
  /** Timestamp of the sender; earlier versions omit it. */
  readonly sentAtMs: number | undefined;
}

export class RequesterLeases {
  /** By incarnation, those whose messages are the oldest first. */
  private readonly lastMessages = new Map<string, LastMessage>();
  private readonly replaced = RecentNames.create(maxProcesses);

  private constructor(private readonly ages: MessageAges) {}

  static create(ages: MessageAges): RequesterLeases {
    return new RequesterLeases(ages);
  }

  get size(): number {
    return this.lastMessages.size;
  }

  /**
   * Records a message that a process has sent of its own: a heartbeat, or a batch. One that is older than
   * the newest changes nothing.
   *
   * @param incarnation - the process
   * @param sentAtMs - its timestamp, if the message carries one
   */
  recordMessage(incarnation: string, sentAtMs: number | undefined): void {
    const message: LastMessage = { receivedAtMs: this.ages.timestampMs(), sentAtMs };
    const newest = this.lastMessages.get(incarnation);
    if (
      newest !== undefined &&
      this.ageMs(incarnation, message) >= this.ageMs(incarnation, newest)
    ) {
      return;
    }
    this.lastMessages.delete(incarnation);
    this.lastMessages.set(incarnation, message);
    const [first] = this.lastMessages.keys();
    if (this.lastMessages.size > maxProcesses && first !== undefined) {
      this.lastMessages.delete(first);
    }
  }

  /** Ends the lease of a process that another one has replaced; nothing renews it. */
  end(incarnation: string): void {
    this.lastMessages.delete(incarnation);
    this.replaced.add(incarnation);
  }

  /** Judges the lease of a requester at this moment. */
  leaseOf(incarnation: string): RequesterLease {
    if (this.replaced.has(incarnation)) {
      return 'replaced';
    }
    return this.silenceMs(incarnation) <= maxSharingSilenceMs ? 'held' : 'silent';
  }

  /** @returns time since a process sent its newest message, in milliseconds */
  silenceMs(incarnation: string): number {
    const message = this.lastMessages.get(incarnation);
    return message === undefined ? Infinity : this.ageMs(incarnation, message);
  }

  /** Time since a message was sent; it is at least the time since its receipt. */
  private ageMs(incarnation: string, { receivedAtMs, sentAtMs }: LastMessage): number {
    const sinceReceiptMs = this.ages.timestampMs() - receivedAtMs;
    return sentAtMs === undefined
      ? sinceReceiptMs
      : Math.max(sinceReceiptMs, this.ages.ageMs(incarnation, sentAtMs));
  }
}
