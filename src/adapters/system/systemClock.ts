/**
 * Clock and timers of the operating system.
 */
import { uptime } from 'node:os';
import { performance } from 'node:perf_hooks';
import { setImmediate } from 'node:timers/promises';
import type { Clock } from '../../ports/clock.js';

const msPerSecond = 1_000;
/** Longest delay that `setTimeout` supports, in milliseconds. */
const maxTimerMs = 2_147_483_647;

export class SystemClock implements Clock {
  private constructor() {
    // Built by create.
  }

  static create(): SystemClock {
    return new SystemClock();
  }

  nowMs(): number {
    return performance.now();
  }

  wallMs(): number {
    return Date.now();
  }

  bootMs(): number {
    return uptime() * msPerSecond;
  }

  sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted === true) {
        resolve();
        return;
      }
      const finish = () => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const timer = setTimeout(finish, Math.min(Math.max(durationMs, 0), maxTimerMs));
      signal?.addEventListener('abort', finish);
    });
  }

  /** The sockets are polled between two immediates, while timers that are due may run without a poll between them. */
  async nextTurn(): Promise<void> {
    await setImmediate();
    await setImmediate();
  }
}
