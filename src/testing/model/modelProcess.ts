/**
 * A process of the model: its clock and timers, and the messages that it receives. A frozen process handles
 * nothing until it is thawed, then its overdue timers and after them the messages that waited; on a suspended VM
 * the monotonic clock stops as well, so that timers fire later by that time. A killed process never handles anything
 * again.
 */
import type { Clock } from '../../ports/clock.js';
import { createDeferred } from '../../utils/deferred.js';
import type { FakeClock } from '../fakeClock.js';

/** Wall-clock time at the begin of the model, in milliseconds since the epoch. */
export const modelEpochMs = 1_700_000_000_000;

/** Shortest time after which a timer fires, in milliseconds. */
const minTimerMs = 1;
/** Difference between sums of the same times, in milliseconds, by the rounding of fractions. */
const maxRoundingMs = 1e-6;

type ProcessState = 'running' | 'frozen' | 'suspended' | 'killed';

export class ModelProcess {
  /** The view that the process has of the simulated time. */
  readonly clock: Clock;
  private state: ProcessState = 'running';
  private readonly timers: (() => void)[] = [];
  private readonly messages: (() => void)[] = [];
  private readonly killed = createDeferred<undefined>();
  /** Time for which the VM was suspended before, in milliseconds. */
  private suspendedMs = 0;
  private suspendedSinceMs: number | undefined;

  private constructor(
    readonly name: string,
    private readonly time: FakeClock,
  ) {
    this.clock = {
      nowMs: () => this.monotonicMs,
      wallMs: () => modelEpochMs + time.nowMs(),
      bootMs: () => time.nowMs(),
      sleep: (durationMs, signal) =>
        new Promise((resolve) => {
          const wakeAtMs = this.monotonicMs + Math.max(durationMs, minTimerMs);
          this.wakeAt(wakeAtMs, signal, resolve);
        }),
      nextTurn: () => new Promise((resolve) => this.handleAfterMessages(resolve)),
    };
  }

  static create(name: string, time: FakeClock): ModelProcess {
    return new ModelProcess(name, time);
  }

  /** Whether the process exists, frozen or not. */
  get isAlive(): boolean {
    return this.state !== 'killed';
  }

  get isFrozen(): boolean {
    return this.state === 'frozen' || this.state === 'suspended';
  }

  /** Resolves when the process is killed. */
  get end(): Promise<unknown> {
    return this.killed.promise;
  }

  /** Handles a message, now or when the process is thawed. */
  receive(handle: () => void): void {
    this.handle(this.messages, handle);
  }

  freeze(): void {
    if (this.state === 'running') {
      this.state = 'frozen';
    }
  }

  suspend(): void {
    if (this.state === 'running') {
      this.state = 'suspended';
      this.suspendedSinceMs = this.time.nowMs();
    }
  }

  /** Ends a freeze or a suspension: runs what is overdue, without advancing the time. */
  async thaw(): Promise<void> {
    if (!this.isFrozen) {
      return;
    }
    this.suspendedMs += this.suspensionMs;
    this.suspendedSinceMs = undefined;
    this.state = 'running';
    for (const waiting of [this.timers, this.messages]) {
      for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
        next();
        await new Promise((resolve) => setImmediate(resolve));
      }
    }
  }

  kill(): void {
    this.state = 'killed';
    this.timers.length = 0;
    this.messages.length = 0;
    this.killed.resolve(undefined);
  }

  private get suspensionMs(): number {
    return this.time.nowMs() - (this.suspendedSinceMs ?? this.time.nowMs());
  }

  private get monotonicMs(): number {
    return this.time.nowMs() - this.suspendedMs - this.suspensionMs;
  }

  /** Wakes a sleeper at a time on the monotonic clock, again and again until that time has come. */
  private wakeAt(wakeAtMs: number, signal: AbortSignal | undefined, wake: () => void): void {
    const check = (): void => {
      const isEarly = this.monotonicMs + maxRoundingMs < wakeAtMs && signal?.aborted !== true;
      return isEarly ? this.wakeAt(wakeAtMs, signal, wake) : wake();
    };
    void this.time
      .sleep(wakeAtMs - this.monotonicMs, signal)
      .then(() => this.handle(this.timers, check));
  }

  /** Runs a callback after the messages that wait. */
  private handleAfterMessages(run: () => void): void {
    if (this.messages.length > 0) {
      this.messages.push(run);
      return;
    }
    this.handle(this.messages, run);
  }

  private handle(waiting: (() => void)[], run: () => void): void {
    switch (this.state) {
      case 'running':
        run();
        return;
      case 'frozen':
      case 'suspended':
        waiting.push(run);
        return;
      case 'killed':
        return;
    }
  }
}
