/**
 * How late this process learns what its callers send. A caller that leaves is noticed only when the end of its connection
 * has arrived and was read, so that nothing proves that a caller still waits but what was read, and that counts from when
 * it had arrived.
 */
import type { Clock } from '../ports/clock.js';
import { longestPauseMs } from '../utils/periodicSleep.js';
import { deliverySlackMs, heartbeatTickMs, requesterCheckPeriodMs } from './requesterTimes.js';

/** Time for which the age of a message tells how late this process is reached, in milliseconds. */
const ageRetentionMs = 2 * heartbeatTickMs;

/** The age that a message had when it was handled. */
interface ObservedAge {
  readonly atMs: number;
  readonly ageMs: number;
}

export class CallerContact {
  /** Whatever had arrived by this time was read, in monotonic time. */
  private readUntilMs: number;
  private ages: readonly ObservedAge[] = [];

  private constructor(private readonly clock: Clock) {
    this.readUntilMs = clock.nowMs();
  }

  static create(clock: Clock): CallerContact {
    return new CallerContact(clock);
  }

  /** Waits until what has arrived by now was read; called once in each `requesterCheckPeriodMs`. */
  async read(): Promise<void> {
    const arrivedByMs = this.clock.nowMs();
    await this.clock.nextTurn();
    this.readUntilMs = Math.max(this.readUntilMs, arrivedByMs);
  }

  /** Records that the VM was suspended, in milliseconds, which the monotonic clock omits. */
  recordSuspension(durationMs: number): void {
    this.readUntilMs -= durationMs;
  }

  /**
   * Records the age of a message of another daemon when it was handled, in milliseconds. What callers send comes over
   * the same link of this VM.
   */
  recordMessageAge(ageMs: number): void {
    const nowMs = this.clock.nowMs();
    this.ages = [...this.recentAges(nowMs), { atMs: nowMs, ageMs }];
  }

  /**
   * Time for which what a caller has sent may have waited for this process, in milliseconds; 0 while it reads its sockets
   * in time and messages of some daemon come without delay.
   */
  get heldUpMs(): number {
    const nowMs = this.clock.nowMs();
    const unreadMs = nowMs - this.readUntilMs;
    const isUnreadForLong = unreadMs > longestPauseMs(requesterCheckPeriodMs);
    return Math.max(isUnreadForLong ? unreadMs : 0, this.linkDelayMs(nowMs));
  }

  /** Delay of the link to this VM: one sender alone may be late by its own fault, so that the youngest message counts. */
  private linkDelayMs(nowMs: number): number {
    const ages = this.recentAges(nowMs).map(({ ageMs }) => ageMs);
    const youngestMs = ages.length === 0 ? 0 : Math.min(...ages);
    return youngestMs > deliverySlackMs ? youngestMs : 0;
  }

  private recentAges(nowMs: number): readonly ObservedAge[] {
    return this.ages.filter(({ atMs }) => nowMs - atMs <= ageRetentionMs);
  }
}
