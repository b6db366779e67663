/**
 * Estimates the clock of one worker, and the time by which all leases issued to it have ended.
 */
import type { Clock } from '../ports/clock.js';
import { maxDrift, sendSlackMs } from './leaseTimes.js';
import type { LeaseTimes } from './leaseTimes.js';

/** A reading that is lower than expected by more than this is of a clock that has started anew. */
const maxReadingLagMs = 20;

export class LeaseClock {
  /** Last reading of the worker's clock. */
  private workerClockMs = 0;
  /** When the reading was recorded, in monotonic time. */
  private readAtMs: number | undefined;
  /** Latest time at which an issued lease may end, in monotonic time. */
  private allEndedByMs = -Infinity;

  private constructor(
    private readonly clock: Clock,
    private readonly times: Pick<LeaseTimes, 'leaseMs' | 'longestLeaseMs'>,
  ) {}

  /**
   * @param clock - the clock of this process
   * @param times - lengths of the leases
   */
  static create(clock: Clock, times: Pick<LeaseTimes, 'leaseMs' | 'longestLeaseMs'>): LeaseClock {
    return new LeaseClock(clock, times);
  }

  /**
   * Records a reading of the worker's clock, in milliseconds. Where the clock has started anew, leases that
   * were issued by the earlier one are far too long, and the worker shortens them to the longest lease, which
   * has begun by now.
   */
  recordReading(workerClockMs: number): void {
    const nowMs = this.clock.nowMs();
    const lowestMs = this.workerClockMs + this.ageMs(nowMs) * (1 - maxDrift) - maxReadingLagMs;
    if (workerClockMs < lowestMs && !this.haveAllLeasesEnded()) {
      this.recordUnknownLease();
    }
    this.workerClockMs = workerClockMs;
    this.readAtMs = nowMs;
  }

  /** Records that the worker may have begun a lease by now that is as long as it allows. */
  recordUnknownLease(): void {
    const { longestLeaseMs } = this.times;
    this.recordIssued(this.clock.nowMs() + longestDurationMs(longestLeaseMs) + sendSlackMs);
  }

  /**
   * Issues a lease that begins now, and extends the time by which all leases have ended. A slow clock has
   * fallen behind since it was read, so that it reaches the end of the lease later by as much.
   *
   * @param limitMs - latest time at which the lease may end, however slow the worker's clock is, in monotonic time
   * @returns end of the lease on the worker's clock, in milliseconds; a lease that is over at once renews nothing
   */
  issueLeaseEnd(limitMs: number): number {
    const nowMs = this.clock.nowMs();
    const startMs = this.leaseStartMs(nowMs);
    const permittedMs = Math.max((limitMs - startMs) / (1 + maxDrift), 0);
    const leaseMs = Math.min(this.times.leaseMs, permittedMs);
    this.recordIssued(startMs + longestDurationMs(leaseMs));
    return this.workerClockMs + this.ageMs(nowMs) + leaseMs;
  }

  /**
   * Whether a lease of full length that is issued now, and all those before it, end by a time, in monotonic time.
   */
  canIssueUntil(limitMs: number): boolean {
    const fullEndMs = this.leaseStartMs(this.clock.nowMs()) + longestDurationMs(this.times.leaseMs);
    return Math.max(fullEndMs, this.allEndedByMs) <= limitMs;
  }

  /** Age of the last reading in milliseconds; 0 before the first. */
  private ageMs(nowMs: number): number {
    return nowMs - (this.readAtMs ?? nowMs);
  }

  /** Latest time at which a lease that is issued now may begin by the worker's clock, in monotonic time. */
  private leaseStartMs(nowMs: number): number {
    return nowMs + this.ageMs(nowMs) * maxDrift + sendSlackMs;
  }

  private recordIssued(endedByMs: number): void {
    this.allEndedByMs = Math.max(this.allEndedByMs, endedByMs);
  }

  /** Returns whether every lease that was issued has certainly ended. */
  haveAllLeasesEnded(): boolean {
    return this.clock.nowMs() >= this.allEndedByMs;
  }

  /** @returns time until every lease that was issued has certainly ended, in milliseconds */
  msUntilAllLeasesEnded(): number {
    return Math.max(this.allEndedByMs - this.clock.nowMs(), 0);
  }
}

/** Time that a duration on the worker's clock may take here, in milliseconds. */
const longestDurationMs = (durationMs: number): number => durationMs * (1 + maxDrift);
