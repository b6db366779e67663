/**
 * Estimates the clock of one worker, and the time by which all leases issued to it have ended.
 */
import type { Clock } from '../ports/clock.js';

/** Largest share by which the clock of a worker may run slower than that of this process. */
export const maxDrift = 0.03;
/** Allowance for the time between reading the clock here and sending the order. */
const sendSlackMs = 20;
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
    private readonly leaseMs: number,
  ) {}

  /**
   * @param clock - the clock of this process
   * @param leaseMs - length of a lease, in milliseconds
   */
  static create(clock: Clock, leaseMs: number): LeaseClock {
    return new LeaseClock(clock, leaseMs);
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
      this.extendLeases(nowMs, 0);
    }
    this.workerClockMs = workerClockMs;
    this.readAtMs = nowMs;
  }

  /**
   * Issues a lease that begins now, and extends the time by which all leases have ended. A slow clock has
   * fallen behind since it was read, so that it reaches the end of the lease later by as much.
   *
   * @returns end of the lease on the worker's clock, in milliseconds
   */
  issueLeaseEnd(): number {
    const nowMs = this.clock.nowMs();
    const ageMs = this.ageMs(nowMs);
    this.extendLeases(nowMs, ageMs * maxDrift);
    return this.workerClockMs + ageMs + this.leaseMs;
  }

  /** Age of the last reading in milliseconds; 0 before the first. */
  private ageMs(nowMs: number): number {
    return nowMs - (this.readAtMs ?? nowMs);
  }

  private extendLeases(fromMs: number, lagMs: number): void {
    const endedByMs = fromMs + this.leaseMs * (1 + maxDrift) + lagMs + sendSlackMs;
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
