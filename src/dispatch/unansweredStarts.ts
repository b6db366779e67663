/**
 * Starts at one worker that were never answered, and whose runs were proved to be over. Each may still be under way: the
 * lifetime that has stopped its run refuses it, and a later lifetime knows nothing of that.
 */
import type { Clock } from '../ports/clock.js';
import type { ActiveRun } from './activeRun.js';

/** An order that was never answered is carried out at most this much later, in milliseconds. */
export const maxOrderDelayMs = 10_000;
/** The oldest starts are forgotten above this number. */
const maxRememberedStarts = 256;

export type UnansweredStart = Pick<ActiveRun, 'taskName' | 'run' | 'startSentAtMs'>;

export class UnansweredStarts {
  /** The oldest first. */
  private starts: UnansweredStart[] = [];
  /** Start of the last lifetime that was told of them. */
  private toldLifetimeMs: number | undefined;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): UnansweredStarts {
    return new UnansweredStarts(clock);
  }

  /** Remembers the start of a run, unless the worker has answered it. */
  remember({ taskName, run, startSentAtMs, startedAtMs }: ActiveRun): void {
    if (startedAtMs === undefined) {
      this.starts.push({ taskName, run, startSentAtMs });
      this.starts = this.starts.slice(-maxRememberedStarts);
    }
  }

  /**
   * Finds the starts that a lifetime has to be told of: once for each lifetime, those that may still arrive.
   *
   * @param lifetimeMs - start of the lifetime that answers
   */
  takeFor(lifetimeMs: number | undefined): readonly UnansweredStart[] {
    if (lifetimeMs === this.toldLifetimeMs) {
      return [];
    }
    this.toldLifetimeMs = lifetimeMs;
    const earliestMs = this.clock.nowMs() - maxOrderDelayMs;
    this.starts = this.starts.filter(({ startSentAtMs }) => startSentAtMs >= earliestMs);
    return this.starts;
  }
}
