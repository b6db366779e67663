/**
 * Tells when the record in force has to stand in the stream again, before retention drops it.
 */
import type { Clock } from '../ports/clock.js';

/** Age at which the newest copy of the record in force is repeated. */
const checkpointPeriodMs = 600_000;
/** Time that the next daemon in rank waits for the one before it. */
const rankDelayMs = 30_000;
const attemptSpacingMs = 60_000;
/** The newest copy is repeated when it is in the oldest part of the kept entries. */
const oldestShare = 0.25;

/** The range of offsets that the log keeps. */
export interface KeptRange {
  readonly oldestOffset: number;
  readonly endOffset: number;
}

export class CheckpointSchedule {
  private anchorOffset = 0;
  private anchorAtMs: number;
  private dueSinceMs: number | undefined;
  private attemptAtMs = -Infinity;

  private constructor(private readonly clock: Clock) {
    this.anchorAtMs = clock.nowMs();
  }

  static create(clock: Clock): CheckpointSchedule {
    return new CheckpointSchedule(clock);
  }

  /**
   * Notes the newest copy of the record in force.
   *
   * @param offset - where it stands
   */
  anchorAt(offset: number): void {
    this.anchorOffset = offset;
    this.anchorAtMs = this.clock.nowMs();
    this.dueSinceMs = undefined;
  }

  /** Notes that this daemon appends a checkpoint, so that it does not do so again at once. */
  noteAttempt(): void {
    this.attemptAtMs = this.clock.nowMs();
  }

  /**
   * Tells whether this daemon has to append a checkpoint now.
   *
   * @param kept - what the log keeps
   * @param rank - number of daemons that go before this one
   */
  isDue(kept: KeptRange, rank: number): boolean {
    const nowMs = this.clock.nowMs();
    if (!this.isEndangered(kept, nowMs)) {
      return false;
    }
    this.dueSinceMs ??= nowMs;
    const isMyTurn = nowMs - this.dueSinceMs >= rank * rankDelayMs;
    return isMyTurn && nowMs - this.attemptAtMs >= attemptSpacingMs;
  }

  private isEndangered({ oldestOffset, endOffset }: KeptRange, nowMs: number): boolean {
    if (nowMs - this.anchorAtMs >= checkpointPeriodMs) {
      return true;
    }
    const distance = this.anchorOffset - oldestOffset;
    return oldestOffset > 0 && distance < (endOffset - oldestOffset) * oldestShare;
  }
}
