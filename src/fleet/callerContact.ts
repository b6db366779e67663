/**
 * How late this process learns what its callers send. A caller that leaves is noticed only when the end of its connection
 * has arrived and was read, so that nothing proves that a caller still waits but what was read, and that counts from when
 * it had arrived.
 */
import type { Clock } from '../ports/clock.js';
import type { LogContext } from '../ports/logger.js';
import { longestPauseMs } from '../utils/periodicSleep.js';
import { AcceptBacklog } from './acceptBacklog.js';
import { deliverySlackMs, heartbeatTickMs, requesterCheckPeriodMs } from './requesterTimes.js';

/** Time for which the delay of a message tells how late this process is reached, in milliseconds. */
const delayRetentionMs = 2 * heartbeatTickMs;

/** The delay that a message had when it was handled. */
interface ObservedDelay {
  readonly atMs: number;
  readonly delayMs: number;
}

/** For how long a request may have waited, in milliseconds; 0 where nothing shows that it has. */
export interface RequestWait {
  /** What counts as time waited. The bound of `acceptWaitMs` does not: callers wait for much less in a long chain. */
  readonly waitedMs: number;
  /** With its connection, at most, until that was accepted and read. */
  readonly acceptWaitMs: number;
  /** In a connection that was accepted before. */
  readonly unreadMs: number;
  /** On the link to this VM. */
  readonly linkDelayMs: number;
}

export class CallerContact {
  /**
   * Whatever had arrived by this time on a connection that was accepted before was read, in monotonic time. New
   * connections are accepted one in each turn.
   */
  private readUntilMs: number;
  private delays: readonly ObservedDelay[] = [];

  private constructor(
    private readonly clock: Clock,
    private readonly backlog: AcceptBacklog,
    private readonly onWait: (waitMs: number) => void,
  ) {
    this.readUntilMs = clock.nowMs();
  }

  /**
   * @param onWait - called after each reading with the longest time for which a request on an open connection waited for
   *   it, in milliseconds
   */
  static create(
    clock: Clock,
    backlog = AcceptBacklog.create(clock),
    onWait: (waitMs: number) => void = () => undefined,
  ): CallerContact {
    return new CallerContact(clock, backlog, onWait);
  }

  /**
   * Waits until what has arrived by now was read; called from a timer, or right after the last reading.
   *
   * @returns how long that took, in milliseconds
   */
  async read(): Promise<number> {
    const arrivedByMs = this.clock.nowMs();
    const unreadMs = this.unreadMs(arrivedByMs);
    await this.backlog.poll();
    this.readUntilMs = Math.max(this.readUntilMs, arrivedByMs);
    const turnMs = this.clock.nowMs() - arrivedByMs;
    this.onWait(Math.max(turnMs, unreadMs));
    return turnMs;
  }

  /** Records that the VM was suspended, in milliseconds, which the monotonic clock omits. */
  recordSuspension(durationMs: number): void {
    this.readUntilMs -= durationMs;
    this.backlog.recordSuspension(durationMs);
  }

  /**
   * Records the delay of a message of another daemon when it was handled, in milliseconds. What callers send comes over
   * the same link of this VM.
   */
  recordMessageDelay(delayMs: number): void {
    const nowMs = this.clock.nowMs();
    this.delays = [...this.recentDelays(nowMs), { atMs: nowMs, delayMs }];
  }

  /**
   * Time for which what a caller has sent may have waited for this process, in milliseconds, as far as that is known; 0
   * while it reads its sockets in time, and no messages of other daemons come or one of them comes without delay.
   */
  get heldUpMs(): number {
    const nowMs = this.clock.nowMs();
    return Math.max(this.unreadMs(nowMs), this.linkDelayMs(nowMs));
  }

  /**
   * Tells for how long a request that is read now may have waited, and where.
   *
   * @param earliestSentAtMs - as its connection tells
   */
  waitOf(earliestSentAtMs?: number): RequestWait {
    const nowMs = this.clock.nowMs();
    const acceptWaitMs = unlessShort(nowMs - (earliestSentAtMs ?? nowMs));
    const unreadMs = this.unreadMs(nowMs);
    const linkDelayMs = this.linkDelayMs(nowMs);
    return { waitedMs: this.heldUpMs, acceptWaitMs, unreadMs, linkDelayMs };
  }

  private unreadMs(nowMs: number): number {
    return unlessShort(nowMs - this.readUntilMs);
  }

  /** Delay of the link to this VM: one sender alone may be late by its own fault, so that the smallest one counts. */
  private linkDelayMs(nowMs: number): number {
    const delaysMs = this.recentDelays(nowMs).map(({ delayMs }) => delayMs);
    const smallestMs = delaysMs.length === 0 ? 0 : Math.min(...delaysMs);
    return smallestMs > deliverySlackMs ? smallestMs : 0;
  }

  private recentDelays(nowMs: number): readonly ObservedDelay[] {
    return this.delays.filter(({ atMs }) => nowMs - atMs <= delayRetentionMs);
  }
}

/** @returns a time, but 0 if it may pass between two readings of a process that is not held up */
const unlessShort = (durationMs: number): number =>
  durationMs > longestPauseMs(requesterCheckPeriodMs) ? durationMs : 0;

/** Describes the wait of a request for the log, without what is 0. */
export const describeWait = ({ waitedMs, ...parts }: RequestWait): LogContext => {
  const entries = Object.entries({ ageMs: waitedMs, ...parts })
    .filter(([, durationMs]) => durationMs > 0)
    .map(([name, durationMs]): [string, number] => [name, Math.round(durationMs)]);
  return Object.fromEntries(entries);
};
