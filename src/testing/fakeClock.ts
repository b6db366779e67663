/**
 * A clock whose time changes only when a test advances it.
 */
import type { Clock } from '../ports/clock.js';

/** A call of `sleep` that has not ended. */
interface Sleeper {
  readonly wakeAtMs: number;
  /** Position among all calls of `sleep`; the earlier of two that are due together wakes first. */
  readonly sequence: number;
  wake(): void;
}

/**
 * Turns of the event loop in which ready callbacks run; several, since a callback may schedule another.
 */
const defaultFlushRounds = 4;

export class FakeClock implements Clock {
  private timeMs = 0;
  private lastSequence = 0;
  private readonly sleepers = new Set<Sleeper>();

  private constructor(private readonly flushRounds: number) {}

  /**
   * Creates a clock that shows 0.
   *
   * @param flushRounds - turns of the event loop after each step; one is enough if no callback waits for a turn
   */
  static create(flushRounds = defaultFlushRounds): FakeClock {
    return new FakeClock(flushRounds);
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
      const finish = (): void => {
        this.sleepers.delete(sleeper);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      this.lastSequence += 1;
      const wakeAtMs = this.timeMs + Math.max(durationMs, 0);
      const sleeper: Sleeper = { wakeAtMs, sequence: this.lastSequence, wake: finish };
      this.sleepers.add(sleeper);
      signal?.addEventListener('abort', finish);
    });
  }

  nextTurn(): Promise<void> {
    return this.sleep(0);
  }

  /** Runs the callbacks that are ready, without advancing the time. */
  async flushCallbacks(): Promise<void> {
    for (let i = 0; i < this.flushRounds; i += 1) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  /**
   * Advances the time to each sleeper that becomes due, in order, wakes it and runs the callbacks that
   * are ready before going on to the next sleeper.
   *
   * @param durationMs - time in milliseconds
   */
  async advance(durationMs: number): Promise<void> {
    const endMs = this.timeMs + durationMs;
    await this.flushCallbacks();
    for (let next = this.findNextDue(endMs); next !== undefined; next = this.findNextDue(endMs)) {
      this.timeMs = Math.max(this.timeMs, next.wakeAtMs);
      next.wake();
      await this.flushCallbacks();
    }
    this.timeMs = endMs;
  }

  /** Advances the time without waking sleepers, as after a pause of the whole process. */
  jump(durationMs: number): void {
    this.timeMs += durationMs;
  }

  /** @returns the sleeper that is due first, if one is due by `endMs` */
  private findNextDue(endMs: number): Sleeper | undefined {
    let first: Sleeper | undefined;
    for (const sleeper of this.sleepers) {
      const isEarlier =
        first === undefined ||
        sleeper.wakeAtMs < first.wakeAtMs ||
        (sleeper.wakeAtMs === first.wakeAtMs && sleeper.sequence < first.sequence);
      if (sleeper.wakeAtMs <= endMs && isEarlier) {
        first = sleeper;
      }
    }
    return first;
  }
}
