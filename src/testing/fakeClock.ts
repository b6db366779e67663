/**
 * A clock that moves only when a test moves it.
 */
import type { Clock } from '../ports/clock.js';

interface Sleeper {
  readonly atMs: number;
  readonly order: number;
  wake(): void;
}

/** Rounds of the microtask and immediate queues that let every ready function run. */
const settleRounds = 4;

export class FakeClock implements Clock {
  private timeMs = 0;
  private order = 0;
  private readonly sleepers = new Set<Sleeper>();

  private constructor() {
    // Built by create.
  }

  static create(): FakeClock {
    return new FakeClock();
  }

  nowMs(): number {
    return this.timeMs;
  }

  wallMs(): number {
    return this.timeMs;
  }

  bootMs(): number {
    return this.timeMs;
  }

  sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted === true) {
        resolve();
        return;
      }
      const end = (): void => {
        this.sleepers.delete(sleeper);
        signal?.removeEventListener('abort', end);
        resolve();
      };
      this.order += 1;
      const atMs = this.timeMs + Math.max(durationMs, 0);
      const sleeper: Sleeper = { atMs, order: this.order, wake: end };
      this.sleepers.add(sleeper);
      signal?.addEventListener('abort', end);
    });
  }

  /** Lets every function run that does not wait for time. */
  async settle(): Promise<void> {
    for (let i = 0; i < settleRounds; i += 1) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  /**
   * Moves the time forward and wakes sleepers in order.
   *
   * @param durationMs - how far
   */
  async advance(durationMs: number): Promise<void> {
    const endMs = this.timeMs + durationMs;
    await this.settle();
    for (let next = this.next(endMs); next !== undefined; next = this.next(endMs)) {
      this.timeMs = Math.max(this.timeMs, next.atMs);
      next.wake();
      await this.settle();
    }
    this.timeMs = endMs;
  }

  /** Moves the time forward without waking anyone, as a paused process sees it. */
  jump(durationMs: number): void {
    this.timeMs += durationMs;
  }

  private next(endMs: number): Sleeper | undefined {
    let first: Sleeper | undefined;
    for (const sleeper of this.sleepers) {
      const isEarlier =
        first === undefined ||
        sleeper.atMs < first.atMs ||
        (sleeper.atMs === first.atMs && sleeper.order < first.order);
      if (sleeper.atMs <= endMs && isEarlier) {
        first = sleeper;
      }
    }
    return first;
  }
}
