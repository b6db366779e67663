/**
 * Decides when this daemon appends a checkpoint, so that a copy of the record in force is always among
 * the entries that the log retains.
 */
import type { Clock } from '../ports/clock.js';

/** Age of the newest copy of the record in force at which another one is due. */
const checkpointPeriodMs = 600_000;
/** Delay per rank, so that a daemon appends only where those of lower rank have not done so. */
const rankDelayMs = 30_000;
/** Shortest time between two appends of one daemon. */
const attemptSpacingMs = 60_000;
/** A checkpoint is also due once the newest copy is in this oldest share of the retained entries. */
const oldestShare = 0.25;

/** The range of offsets that the log retains. */
export interface RetainedRange {
  readonly oldestOffset: number;
  readonly endOffset: number;
}

export class CheckpointSchedule {
  private newestCopyOffset = 0;
  private newestCopyAtMs: number;
  private dueSinceMs: number | undefined;
  private lastAttemptAtMs = -Infinity;

  private constructor(private readonly clock: Clock) {
    this.newestCopyAtMs = clock.nowMs();
  }

  static create(clock: Clock): CheckpointSchedule {
    return new CheckpointSchedule(clock);
  }

  /**
   * Records that the stream has a new copy of the record in force.
   *
   * @param offset - its offset in the stream
   */
  recordCopy(offset: number): void {
    this.newestCopyOffset = offset;
    this.newestCopyAtMs = this.clock.nowMs();
    this.dueSinceMs = undefined;
  }

  /** Records that this daemon appends a checkpoint, which delays its next one. */
  recordAttempt(): void {
    this.lastAttemptAtMs = this.clock.nowMs();
  }

  /**
   * @param retained - the offsets that the log retains
   * @param rank - number of daemons that append before this one does
   * @returns whether this daemon has to append a checkpoint now
   */
  isDue(retained: RetainedRange, rank: number): boolean {
    const nowMs = this.clock.nowMs();
    if (!this.needsNewCopy(retained, nowMs)) {
      return false;
    }
    this.dueSinceMs ??= nowMs;
    const isMyTurn = nowMs - this.dueSinceMs >= rank * rankDelayMs;
    return isMyTurn && nowMs - this.lastAttemptAtMs >= attemptSpacingMs;
  }

  private needsNewCopy({ oldestOffset, endOffset }: RetainedRange, nowMs: number): boolean {
    if (nowMs - this.newestCopyAtMs >= checkpointPeriodMs) {
      return true;
    }
    const distance = this.newestCopyOffset - oldestOffset;
    return oldestOffset > 0 && distance < (endOffset - oldestOffset) * oldestShare;
  }
}
