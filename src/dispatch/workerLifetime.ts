/**
 * The lifetime of a worker that last reported, which its start time identifies, and a reading of its clock in
 * that lifetime. Lifetimes are ordered by cause: a clock that is set can move start times back.
 */
import type { Clock } from '../ports/clock.js';
import { maxDrift } from './leaseTimes.js';

/** Allowance for the resolution of both clocks. */
const slackMs = 20;

/** What a reply of the worker says of the lifetime that sent it. */
export interface LifetimeStatement {
  /** Start of the replying lifetime, in milliseconds since the epoch, if the reply states it. */
  readonly startedAtMs?: number | undefined;
  /** The worker's own clock, in milliseconds. */
  readonly workerClockMs: number;
}

/** A reading of the worker's clock, taken at some time between a request and its reply. */
interface Reading {
  readonly workerClockMs: number;
  /** In monotonic time. */
  readonly requestedAtMs: number;
  /** In monotonic time. */
  readonly receivedAtMs: number;
}

/** Which lifetime answers at the address of a worker. */
export type AnsweringLifetime =
  /** The worker itself. */
  | {
      readonly kind: 'reported';
      /** Start of its lifetime in milliseconds since the epoch, if it states it. */
      readonly startedAtMs: number | undefined;
      /** Earliest start of its lifetime by its clock, in monotonic time. */
      readonly earliestStartMs: number;
      /** Latest start of its lifetime by its clock, in monotonic time. */
      readonly latestStartMs: number;
    }
  /** Another worker, so that the lifetime that was there before is over. */
  | { readonly kind: 'replaced' };

/** How a statement relates to the last one: `stale` if a later lifetime has answered already. */
export type LifetimeChange = 'same' | 'new' | 'stale';

export class WorkerLifetime {
  private knownStartMs: number | undefined;
  private isDoubted = false;
  /** Last reading that is proved to be of the known lifetime. */
  private reading: Reading | undefined;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): WorkerLifetime {
    return new WorkerLifetime(clock);
  }

  /** Start of the lifetime that last reported, in milliseconds since the epoch; undefined before. */
  get startedAtMs(): number | undefined {
    return this.knownStartMs;
  }

  /** Whether a later lifetime than the known one may have replied. */
  get isInDoubt(): boolean {
    return this.isDoubted;
  }

  /**
   * Earliest start of the lifetime that last reported, in monotonic time: its clock has counted from 0 since.
   */
  get earliestStartMs(): number {
    return this.reading === undefined
      ? -Infinity
      : this.reading.requestedAtMs - this.reading.workerClockMs * (1 + maxDrift) - slackMs;
  }

  /** Latest start of the lifetime that last reported, in monotonic time. */
  get latestStartMs(): number {
    return this.reading === undefined
      ? Infinity
      : this.reading.receivedAtMs - this.reading.workerClockMs * (1 - maxDrift) + slackMs;
  }

  /** Earliest and latest start of the lifetime that last reported, in monotonic time. */
  get startRange(): { readonly earliestStartMs: number; readonly latestStartMs: number } {
    const { earliestStartMs, latestStartMs } = this;
    return { earliestStartMs, latestStartMs };
  }

  /** The lifetime that last reported, as the one that answers at the worker's address. */
  get answering(): Extract<AnsweringLifetime, { kind: 'reported' }> {
    return { kind: 'reported', startedAtMs: this.startedAtMs, ...this.startRange };
  }

  /**
   * Takes note of a reply.
   *
   * @param statement - what the reply says
   * @param requestedAtMs - when it was requested, in monotonic time
   */
  observe(
    { startedAtMs, workerClockMs }: LifetimeStatement,
    requestedAtMs: number,
  ): LifetimeChange {
    if (startedAtMs === undefined) {
      return 'same';
    }
    const isOther = this.knownStartMs !== undefined && startedAtMs !== this.knownStartMs;
    if (isOther && this.reading !== undefined && requestedAtMs < this.reading.receivedAtMs) {
      return 'stale';
    }
    this.isDoubted = false;
    this.knownStartMs = startedAtMs;
    this.reading = { workerClockMs, requestedAtMs, receivedAtMs: this.clock.nowMs() };
    return isOther ? 'new' : 'same';
  }

  /**
   * Finds the lifetime that a reply is of, by its statement or since its clock continues that of the known one.
   * Where it proves none, the known one is in doubt until the next statement.
   *
   * @returns start of the lifetime, or undefined if the reply proves none
   */
  provenBy(statement: LifetimeStatement, requestedAtMs: number): number | undefined {
    if (statement.startedAtMs !== undefined) {
      return statement.startedAtMs;
    }
    const isContinued = this.isContinuedBy(statement, requestedAtMs);
    this.isDoubted ||= this.knownStartMs !== undefined && !isContinued;
    return isContinued ? this.knownStartMs : undefined;
  }

  /**
   * Whether a clock reading is of the known lifetime: it lies where the last reading leads to, and is higher
   * than a clock can be that started anew after the last reading.
   */
  private isContinuedBy({ workerClockMs }: LifetimeStatement, requestedAtMs: number): boolean {
    if (this.reading === undefined) {
      return false;
    }
    const { reading } = this;
    const leastMs = requestedAtMs - reading.receivedAtMs;
    const mostMs = (this.clock.nowMs() - reading.requestedAtMs) * (1 + maxDrift) + slackMs;
    const lowestMs = reading.workerClockMs + Math.min(leastMs, leastMs * (1 - maxDrift)) - slackMs;
    const isOnLine = workerClockMs >= lowestMs && workerClockMs <= reading.workerClockMs + mostMs;
    return isOnLine && workerClockMs > mostMs;
  }
}
