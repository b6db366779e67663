/**
 * The order in which the waiting tasks of one service start: by priority, and within a priority by latest start. A
 * task that has waited for long counts as more urgent, and one that can no longer meet its objective goes last.
 */

/** Place of a task in the order; lower values go first. */
export interface TaskPosition {
  readonly rank: number;
  /** Latest start that meets the objective with a margin, in monotonic time. */
  readonly startByMs: number;
  /** Distinguishes tasks that are equal otherwise; the earlier arrival has the lower one. */
  readonly sequence: number;
}

/** What the rank of a task depends on. */
export interface RankInput {
  /** Priority of the route; 0 is the most urgent. */
  readonly priority: number;
  readonly queuedAtMs: number;
  readonly startByMs: number;
  /** Whether no worker can end the task within its objective any more. */
  readonly isLate: boolean;
}

/** Rank of all tasks where priorities do not decide, and of the most urgent tasks. */
export const firstRank = 0;
/** Distance of the ranks of late tasks from those of the others; priorities are far smaller. */
const lateRankOffset = 1e9;
/** Share of the time that a task can wait after which it counts as one priority more urgent. */
const firstRaiseShare = 0.8;
/** Share after which it counts as one of the most urgent, so that no route starves. */
const lastRaiseShare = 0.9;

export const comparePositions = (a: TaskPosition, b: TaskPosition): number =>
  a.rank - b.rank || a.startByMs - b.startByMs || a.sequence - b.sequence;

/**
 * Returns the rank of a task in a service whose priorities decide.
 *
 * @param input - the task
 * @param nowMs - monotonic time
 */
export const rankAt = (input: RankInput, nowMs: number): number => {
  const priority = Math.max(input.priority, firstRank);
  if (input.isLate) {
    return lateRankOffset + priority;
  }
  if (nowMs >= raiseTimeMs(input, lastRaiseShare)) {
    return firstRank;
  }
  const isRaised = nowMs >= raiseTimeMs(input, firstRaiseShare);
  return Math.max(priority - (isRaised ? 1 : 0), firstRank);
};

/** Returns when the rank of a task changes next by waiting, in monotonic time; infinite if it does not. */
export const nextRaiseMs = (input: RankInput, nowMs: number): number => {
  if (input.isLate || input.priority <= firstRank) {
    return Infinity;
  }
  const nextShare = [firstRaiseShare, lastRaiseShare].find(
    (share) => raiseTimeMs(input, share) > nowMs,
  );
  return nextShare === undefined ? Infinity : raiseTimeMs(input, nextShare);
};

const raiseTimeMs = ({ queuedAtMs, startByMs }: RankInput, share: number): number =>
  queuedAtMs + Math.max(startByMs - queuedAtMs, 0) * share;
