/**
 * A process of the model: its clock and timers, and the messages that it receives. A frozen process handles
 * nothing until it is thawed, then its overdue timers and after them the messages that waited; a killed one
 * never handles anything again.
 */
import type { Clock } from '../../ports/clock.js';
import { createDeferred } from '../../utils/deferred.js';
import type { FakeClock } from '../fakeClock.js';

/** Wall-clock time at the begin of the model, in milliseconds since the epoch. */
export const modelEpochMs = 1_700_000_000_000;

/** Shortest time after which a timer fires, in milliseconds. */
const minTimerMs = 1;

type ProcessState = 'running' | 'frozen' | 'killed';

export class ModelProcess {
  /** The view that the process has of the simulated time. */
  readonly clock: Clock;
  private state: ProcessState = 'running';
  private readonly timers: (() => void)[] = [];
  private readonly messages: (() => void)[] = [];
  private readonly killed = createDeferred<undefined>();

  private constructor(
    readonly name: string,
    time: FakeClock,
  ) {
    this.clock = {
      nowMs: () => time.nowMs(),
      wallMs: () => modelEpochMs + time.nowMs(),
      bootMs: () => time.nowMs(),
      sleep: (durationMs, signal) =>
        new Promise((resolve) => {
          void time
            .sleep(Math.max(durationMs, minTimerMs), signal)
            .then(() => this.handle(this.timers, resolve));
        }),
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
    return this.state === 'frozen';
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

  /** Runs what is overdue, without advancing the time. */
  async thaw(): Promise<void> {
    if (this.state !== 'frozen') {
      return;
    }
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

  private handle(waiting: (() => void)[], run: () => void): void {
    switch (this.state) {
      case 'running':
        run();
        return;
      case 'frozen':
        waiting.push(run);
        return;
      case 'killed':
        return;
    }
  }
}
