/**
 * The clock of one worker, and the time by which every lease given there has certainly ended.
 */
import type { Clock } from '../ports/clock.js';

/** A worker's clock may run this much slower than ours. */
const maxDrift = 0.03;
/** Allowance for the moment between reading our clock and sending, in milliseconds. */
const sendSlackMs = 20;

export class LeaseClock {
  private workerClockMs = 0;
  private readAtMs: number | undefined;
  private boundMs = -Infinity;

  private constructor(
    private readonly clock: Clock,
    private readonly leaseMs: number,
  ) {}

  /**
   * @param clock - the time of this process
   * @param leaseMs - length of a lease
   */
  static create(clock: Clock, leaseMs: number): LeaseClock {
    return new LeaseClock(clock, leaseMs);
  }

  /** Takes a reading of the worker's clock, in milliseconds. */
  read(workerClockMs: number): void {
    this.workerClockMs = workerClockMs;
    this.readAtMs = this.clock.nowMs();
  }

  /** @returns the end of a lease that begins now, on the worker's clock */
  nextLeaseEnd(): number {
    const nowMs = this.clock.nowMs();
    this.boundMs = nowMs + this.leaseMs * (1 + maxDrift) + sendSlackMs;
    return this.workerClockMs + (nowMs - (this.readAtMs ?? nowMs)) + this.leaseMs;
  }

  /** Tells whether every lease that was given has ended. */
  hasAllEnded(): boolean {
    return this.clock.nowMs() > this.boundMs;
  }

  /** @returns time until every lease that was given has ended, in milliseconds */
  msUntilAllEnded(): number {
    return Math.max(this.boundMs - this.clock.nowMs(), 0);
  }
}
