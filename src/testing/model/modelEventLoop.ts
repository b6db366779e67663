/**
 * What waits to be run by a process of the model, and the turns in which a slow process runs it: first the timers that
 * are due, then the messages that had arrived when the poll began, then what waited for these.
 */
import type { FakeClock } from '../fakeClock.js';

/** What waits to be run by a process. */
export type Step = () => void;

/** A new connection with a request. */
export interface Connection {
  /** Reports that it is accepted. */
  readonly accept: Step;
  /** Reads its request. */
  readonly read: Step;
}

/** Shares of a turn that its timers take, and of the rest, that what waits for the messages takes. */
const timersShare = 0.5;
const waitersShare = 0.25;

export class ModelEventLoop {
  readonly timers: Step[] = [];
  readonly messages: Step[] = [];
  /** Requests on new connections that a slow process has not accepted. */
  readonly connections: Connection[] = [];
  /** Requests on connections that were accepted in this turn. */
  private readonly accepted: Step[] = [];
  /** What waits until the messages of a turn are handled. */
  readonly waiters: Step[] = [];
  /** When the present step of a slow process ends, in simulated time. */
  private stepEndMs = 0;

  private constructor(private readonly time: FakeClock) {}

  static create(time: FakeClock): ModelEventLoop {
    return new ModelEventLoop(time);
  }

  /** Time until the present step of a slow process ends, in milliseconds. */
  get stepLeftMs(): number {
    return Math.max(this.stepEndMs - this.time.nowMs(), 0);
  }

  /** Runs all that waits but the waiters, without advancing the time. */
  async runAll(): Promise<void> {
    this.messages.push(...this.accepted.splice(0));
    for (const waiting of [this.timers, this.messages]) {
      for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
        next();
        await new Promise((resolve) => setImmediate(resolve));
      }
    }
    for (let next = this.connections.shift(); next !== undefined; next = this.connections.shift()) {
      next.accept();
      next.read();
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  /** @returns the waiters, which no longer wait */
  takeWaiters(): Step[] {
    return this.waiters.splice(0);
  }

  /**
   * Takes turns of some lengths, one after the other.
   *
   * @param turnsMs - the lengths, in milliseconds
   * @param isSlow - returns whether the process still takes these turns
   */
  async takeTurns(turnsMs: readonly number[], isSlow: () => boolean): Promise<void> {
    for (let turn = 0; isSlow(); turn += 1) {
      const turnMs = turnsMs[turn % turnsMs.length] ?? 0;
      await this.takeSteps(this.timers, turnMs * timersShare, isSlow);
      await this.poll(turnMs * (1 - timersShare), isSlow);
    }
  }

  clear(): void {
    for (const waiting of [
      this.timers,
      this.messages,
      this.connections,
      this.accepted,
      this.waiters,
    ]) {
      waiting.length = 0;
    }
  }

  /** Accepts one connection, whose request is read in the next turn, handles the messages, and then runs the waiters. */
  private async poll(durationMs: number, isSlow: () => boolean): Promise<void> {
    this.acceptOne();
    const waitersMs = this.waiters.length > 0 ? durationMs * waitersShare : 0;
    await this.takeSteps(this.messages, durationMs - waitersMs, isSlow);
    await this.takeSteps(this.waiters, waitersMs, isSlow);
    if (isSlow()) {
      this.messages.push(...this.accepted.splice(0));
    }
  }

  private acceptOne(): void {
    this.messages.push(...this.accepted.splice(0));
    const connection = this.connections.shift();
    if (connection !== undefined) {
      connection.accept();
      this.accepted.push(connection.read);
    }
  }

  /** Runs what waits now, in steps that take a time together; what comes meanwhile waits for the next turn. */
  private async takeSteps(
    waiting: Step[],
    durationMs: number,
    isSlow: () => boolean,
  ): Promise<void> {
    const count = waiting.length;
    const stepMs = durationMs / Math.max(count, 1);
    for (let taken = 0; isSlow() && taken < Math.max(count, 1); taken += 1) {
      this.stepEndMs = this.time.nowMs() + stepMs;
      waiting.shift()?.();
      await this.time.sleep(stepMs);
    }
  }
}
