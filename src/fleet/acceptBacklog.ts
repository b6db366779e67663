/**
 * How long connections of callers may have waited to be accepted. The event loop accepts one in each turn, so that in a
 * slow process they wait behind each other, and nothing tells when they came. None waits at a poll of the sockets in which
 * none is accepted, and whatever comes next has come since then.
 */
import type { Clock } from '../ports/clock.js';
import type { AcceptedConnection, CallerConnections } from '../ports/jobs.js';
import type { Logger } from '../ports/logger.js';

/** Shortest time for which connections are accepted in each turn that is logged, in milliseconds. */
const minLoggedMs = 300;

export class AcceptBacklog implements CallerConnections {
  /** No connection that is accepted after this time, in monotonic time, had come before it. */
  private emptyAtMs: number;
  private acceptedCount = 0;
  /** Number of the connections, from the first one, that were read since they were accepted. */
  private readCount = 0;
  private lastAcceptedAtMs = 0;
  private isWatching = false;

  private constructor(
    private readonly clock: Clock,
    private readonly logger: Logger | undefined,
  ) {
    this.emptyAtMs = clock.nowMs();
  }

  static create(clock: Clock, logger?: Logger): AcceptBacklog {
    return new AcceptBacklog(clock, logger);
  }

  /** Records that a connection is accepted, while the sockets are polled. */
  accept(): AcceptedConnection {
    const earliestSentAtMs = this.emptyAtMs;
    this.acceptedCount += 1;
    this.lastAcceptedAtMs = this.clock.nowMs();
    if (!this.isWatching) {
      void this.watch();
    }
    const number = this.acceptedCount;
    return { earliestSentAtMs: () => (number > this.readCount ? earliestSentAtMs : undefined) };
  }

  /**
   * Waits until the sockets were polled once more; called from a timer or from the end of a turn.
   *
   * @returns whether no connection waited
   */
  async poll(): Promise<boolean> {
    const beganAtMs = this.clock.nowMs();
    const countBefore = this.acceptedCount;
    await this.clock.nextTurn();
    const wasEmpty = this.acceptedCount === countBefore;
    if (wasEmpty) {
      this.emptyAtMs = Math.max(this.emptyAtMs, beganAtMs);
    }
    return wasEmpty;
  }

  /** Records that the VM was suspended, in milliseconds, which the monotonic clock omits. */
  recordSuspension(durationMs: number): void {
    this.emptyAtMs -= durationMs;
  }

  /** Polls in each turn until no connection waits. */
  private async watch(): Promise<void> {
    this.isWatching = true;
    const firstAtMs = this.clock.nowMs();
    const countBefore = this.acceptedCount - 1;
    let longestTurnMs = 0;
    await this.clock.nextTurn();
    for (let isEmpty = false; !isEmpty;) {
      const beganAtMs = this.clock.nowMs();
      const acceptedBefore = this.acceptedCount;
      isEmpty = await this.poll();
      this.readCount = acceptedBefore;
      longestTurnMs = Math.max(longestTurnMs, this.clock.nowMs() - beganAtMs);
    }
    this.isWatching = false;
    const durationMs = this.lastAcceptedAtMs - firstAtMs;
    if (durationMs >= minLoggedMs) {
      this.logger?.info('Connections may have waited to be accepted.', {
        count: this.acceptedCount - countBefore,
        durationMs: Math.round(durationMs),
        longestTurnMs: Math.round(longestTurnMs),
      });
    }
  }
}
