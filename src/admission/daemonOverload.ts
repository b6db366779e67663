/**
 * Whether this daemon keeps up with what its callers send, judged by the time for which requests wait until they are
 * read, with hysteresis. An overloaded daemon reports that it is not ready, so that it gets fewer requests; not for
 * long, since the others may be overloaded as well.
 */
import { unreachable } from '../errors/unreachable.js';
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import { requesterCheckPeriodMs } from '../fleet/requesterTimes.js';
import type { Metrics } from '../ports/metrics.js';
import { longestPauseMs } from '../utils/periodicSleep.js';

/** Wait from which a daemon is overloaded, in milliseconds: it counts as held up from then on (`CallerContact`). */
const overloadWaitMs = longestPauseMs(requesterCheckPeriodMs);
/** Wait below which it no longer is, in milliseconds. */
const calmWaitMs = 20;
/** Time for which the wait has to be above or below the limit, in milliseconds; a garbage collection takes less. */
const confirmationMs = 500;
/** Longest time for which an overloaded daemon reports that it is not ready, in milliseconds. */
const maxUnreadyMs = 2_000;
/** Time for which it reports that it is ready after that, whatever its wait, in milliseconds. */
const minReadyMs = 4_000;

/** Times are monotonic, in milliseconds. */
export type OverloadState =
  /** `slowSinceMs`: since when requests wait too long, where they do. */
  | { readonly kind: 'normal'; readonly readyFromMs: number; readonly slowSinceMs?: number }
  /** `calmSinceMs`: since when requests no longer wait, where they don't. */
  | { readonly kind: 'overloaded'; readonly sinceMs: number; readonly calmSinceMs?: number };

export const initialOverload: OverloadState = { kind: 'normal', readyFromMs: -Infinity };

/**
 * Computes the state after a measurement.
 *
 * @param waitMs - how long a request waits until it is read
 */
export const nextOverload = (
  state: OverloadState,
  waitMs: number,
  nowMs: number,
): OverloadState => {
  switch (state.kind) {
    case 'normal': {
      const { kind, readyFromMs, slowSinceMs = nowMs } = state;
      if (waitMs < overloadWaitMs) {
        return { kind, readyFromMs };
      }
      return nowMs - slowSinceMs >= confirmationMs
        ? { kind: 'overloaded', sinceMs: Math.max(nowMs, readyFromMs) }
        : { kind, readyFromMs, slowSinceMs };
    }
    case 'overloaded': {
      const { kind, sinceMs, calmSinceMs = nowMs } = state;
      if (waitMs > calmWaitMs) {
        return { kind, sinceMs };
      }
      return nowMs - calmSinceMs >= confirmationMs
        ? { kind: 'normal', readyFromMs: nowMs + minReadyMs }
        : { kind, sinceMs, calmSinceMs };
    }
    default:
      return unreachable(state);
  }
};

/**
 * Whether the daemon reports that it is ready. An overloaded one does so in each period after a time in which it did not,
 * and one that was overloaded a moment ago is not unready again before `minReadyMs` have passed.
 */
export const isReadyIn = (state: OverloadState, nowMs: number): boolean => {
  switch (state.kind) {
    case 'normal':
      return true;
    case 'overloaded': {
      const elapsedMs = nowMs - state.sinceMs;
      return elapsedMs < 0 || elapsedMs % (maxUnreadyMs + minReadyMs) >= maxUnreadyMs;
    }
    default:
      return unreachable(state);
  }
};

export interface DaemonOverloadOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

export class DaemonOverload {
  private state: OverloadState = initialOverload;

  private constructor(private readonly options: DaemonOverloadOptions) {}

  static create(options: DaemonOverloadOptions): DaemonOverload {
    return new DaemonOverload(options);
  }

  /** Whether requests wait too long to be read, with hysteresis. */
  get isOverloaded(): boolean {
    return this.state.kind === 'overloaded';
  }

  get isReady(): boolean {
    return isReadyIn(this.state, this.options.clock.nowMs());
  }

  /** Records how long requests wait now until they are read, in milliseconds; called periodically. */
  recordWait(waitMs: number): void {
    const { clock, logger, metrics } = this.options;
    const before = this.state;
    this.state = nextOverload(before, waitMs, clock.nowMs());
    metrics.gauge('request_wait_ms', Math.round(waitMs));
    if (before.kind !== this.state.kind) {
      metrics.gauge('overloaded', this.isOverloaded ? 1 : 0);
      logger.info(
        this.isOverloaded
          ? 'Requests wait too long to be read; this daemon is overloaded.'
          : 'Requests are read in time again; this daemon is no longer overloaded.',
        { durationMs: Math.round(waitMs) },
      );
    }
  }
}
