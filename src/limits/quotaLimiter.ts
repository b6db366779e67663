/**
 * Decides when a team with a quota may start its next task on this daemon: a token bucket limits
 * the rate of starts, a count limits the slots that are held at once.
 */
import type { Clock } from '../ports/clock.js';

/** The most that one team may use on this daemon. */
export interface QuotaLimit {
  /** Rate at which tasks may start. */
  readonly startsPerS: number;
  /** Tasks that may run at once. */
  readonly slots: number;
}

/** A limit with an expiry, and the one that replaces it then. */
export interface TimedLimit {
  readonly limit: QuotaLimit;
  /** Monotonic time of the expiry; infinite where the limit does not expire. */
  readonly expiresAtMs: number;
  readonly limitAfterExpiry: QuotaLimit;
}

/** Limit and use of one team on this daemon. */
interface TeamUsage {
  limit: QuotaLimit;
  /** Monotonic time at which the limit expires. */
  expiresAtMs: number;
  limitAfterExpiry: QuotaLimit;
  /** Tasks that hold a slot. */
  running: number;
  /** Starts that the bucket allowed at `refilledAtMs`. */
  tokens: number;
  /** Monotonic time of the last refill. */
  refilledAtMs: number;
}

/** Time whose starts fit in a full bucket. */
const burstMs = 100;
const msPerS = 1_000;
/** Absorbs rounding errors: at the computed time of the next token the bucket counts as filled. */
const tokenTolerance = 1e-6;

export class QuotaLimiter {
  /** Usage of each team with a quota, by team id. */
  private readonly teams = new Map<string, TeamUsage>();

  private constructor(private readonly clock: Pick<Clock, 'nowMs'>) {}

  static create(clock: Pick<Clock, 'nowMs'>): QuotaLimiter {
    return new QuotaLimiter(clock);
  }

  /** Ids of the teams with a quota. */
  get teamIds(): string[] {
    return [...this.teams.keys()];
  }

  /** @returns the limit of a team in force at the last refill; undefined without quota */
  limitOf(teamId: string): QuotaLimit | undefined {
    return this.teams.get(teamId)?.limit;
  }

  /** @returns the number of tasks of a team that hold a slot; 0 for a team without quota */
  runningTasks(teamId: string): number {
    return this.teams.get(teamId)?.running ?? 0;
  }

  /**
   * Sets the limit of a team from now on. A team that had none starts with a full bucket.
   *
   * @param teamId - the team
   * @param timed - its limit on this daemon; undefined for a team without quota
   * @param running - tasks that hold a slot; used only for a team that had no limit before
   */
  setLimit(teamId: string, timed: TimedLimit | undefined, running: number): void {
    if (timed === undefined) {
      this.teams.delete(teamId);
      return;
    }
    const usage = this.teams.get(teamId);
    if (usage === undefined) {
      const refilledAtMs = this.clock.nowMs();
      this.teams.set(teamId, {
        ...timed,
        running,
        tokens: bucketCapacity(timed.limit),
        refilledAtMs,
      });
      return;
    }
    this.refill(usage);
    Object.assign(usage, timed);
    usage.tokens = Math.min(usage.tokens, bucketCapacity(usage.limit));
  }

  /**
   * Computes when a team may start its next task.
   *
   * @returns monotonic time in milliseconds: now or later, or `Infinity` while all slots are held
   * or the team may start nothing
   */
  nextStartAtMs(teamId: string): number {
    const usage = this.teams.get(teamId);
    const nowMs = this.clock.nowMs();
    if (usage === undefined) {
      return nowMs;
    }
    this.refill(usage);
    if (usage.running >= usage.limit.slots || usage.limit.startsPerS === 0) {
      return Infinity;
    }
    const missing = 1 - usage.tokens;
    return missing <= tokenTolerance ? nowMs : nowMs + (missing / usage.limit.startsPerS) * msPerS;
  }

  /** Counts the start of a task: it takes a slot and a token. */
  started(teamId: string): void {
    const usage = this.teams.get(teamId);
    if (usage !== undefined) {
      this.refill(usage);
      usage.running += 1;
      usage.tokens -= 1;
    }
  }

  /** Frees the slot of a task that has ended. */
  ended(teamId: string): void {
    const usage = this.teams.get(teamId);
    if (usage !== undefined) {
      usage.running = Math.max(usage.running - 1, 0);
    }
  }

  /**
   * Adds the tokens since the last refill. An expiry that has passed is applied first, so that a
   * process that was suspended starts nothing under an expired limit.
   */
  private refill(usage: TeamUsage): void {
    const nowMs = this.clock.nowMs();
    if (nowMs >= usage.expiresAtMs) {
      addTokens(usage, usage.expiresAtMs);
      usage.limit = usage.limitAfterExpiry;
      usage.expiresAtMs = Infinity;
    }
    addTokens(usage, nowMs);
  }
}

/** Adds the tokens of the time up to `nowMs` by the limit in force, up to a full bucket. */
const addTokens = (usage: TeamUsage, nowMs: number): void => {
  const addedMs = Math.max(nowMs - usage.refilledAtMs, 0);
  const tokens = usage.tokens + (addedMs / msPerS) * usage.limit.startsPerS;
  usage.tokens = Math.min(tokens, bucketCapacity(usage.limit));
  usage.refilledAtMs = nowMs;
};

/** At least one token, so that a small quota can start a task at all. */
const bucketCapacity = ({ startsPerS }: QuotaLimit): number =>
  Math.max(1, (startsPerS * burstMs) / msPerS);
