/**
 * Estimates the clock of one worker, and the time by which all leases issued to it have ended.
 */
import type { Clock } from '../ports/clock.js';

/** Largest share by which the clock of a worker may run slower than that of this process. */
const maxDrift = 0.03;
/** Allowance for the time between reading the clock here and sending the order. */
const sendSlackMs = 20;

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

  /** Records a reading of the worker's clock, in milliseconds. */
  recordReading(workerClockMs: number): void {
    this.workerClockMs = workerClockMs;
    this.readAtMs = this.clock.nowMs();
  }

  /**
   * Issues a lease that begins now, and extends the time by which all leases have ended.
   *
   * @returns end of the lease on the worker's clock, in milliseconds
   */
  issueLeaseEnd(): number {
    const nowMs = this.clock.nowMs();
    this.allEndedByMs = nowMs + this.leaseMs * (1 + maxDrift) + sendSlackMs;
    return this.workerClockMs + (nowMs - (this.readAtMs ?? nowMs)) + this.leaseMs;
  }

  /** Returns whether every lease that was issued has certainly ended. */
  haveAllLeasesEnded(): boolean {
    return this.clock.nowMs() > this.allEndedByMs;
  }

  /** @returns time until every lease that was issued has certainly ended, in milliseconds */
  msUntilAllLeasesEnded(): number {
    return Math.max(this.allEndedByMs - this.clock.nowMs(), 0);
  }
}
