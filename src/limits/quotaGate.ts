/**
 * What each team with a quota may start now: a token bucket for starts, a count for slots.
 */
import type { Clock } from '../ports/clock.js';

/** What one team may use on this daemon. */
export interface QuotaLimit {
  readonly startsPerS: number;
  readonly slots: number;
}

/** A limit that holds up to a time, and the one that holds from then on. */
export interface TimedLimit {
  readonly limit: QuotaLimit;
  readonly untilMs: number;
  readonly afterwards: QuotaLimit;
}

/** What one team uses on this daemon. */
interface TeamUse {
  limit: QuotaLimit;
  /** Monotonic time at which `afterwards` takes the place of the limit. */
  untilMs: number;
  afterwards: QuotaLimit;
  running: number;
  /** Starts that are allowed at `filledAtMs`. */
  tokens: number;
  filledAtMs: number;
}

/** Length of the burst that a full bucket allows. */
const burstMs = 100;
const msPerS = 1_000;
/** Absorbs rounding, so that a bucket that is due counts as due. */
const tokenTolerance = 1e-6;

export class QuotaGate {
  private readonly teams = new Map<string, TeamUse>();

  private constructor(private readonly clock: Pick<Clock, 'nowMs'>) {}

  static create(clock: Pick<Clock, 'nowMs'>): QuotaGate {
    return new QuotaGate(clock);
  }

  get teamIds(): string[] {
    return [...this.teams.keys()];
  }

  limitOf(teamId: string): QuotaLimit | undefined {
    return this.teams.get(teamId)?.limit;
  }

  /** @returns tasks of a team with a quota that hold a slot */
  runningOf(teamId: string): number {
    return this.teams.get(teamId)?.running ?? 0;
  }

  /**
   * Sets what a team may use from now on.
   *
   * @param teamId - the team
   * @param timed - its limit on this daemon; nothing for a team without quota
   * @param running - tasks that hold a slot, for a team that had no quota before
   */
  setLimit(teamId: string, timed: TimedLimit | undefined, running: number): void {
    if (timed === undefined) {
      this.teams.delete(teamId);
      return;
    }
    const use = this.teams.get(teamId);
    if (use === undefined) {
      const filledAtMs = this.clock.nowMs();
      this.teams.set(teamId, { ...timed, running, tokens: capacityOf(timed.limit), filledAtMs });
      return;
    }
    this.refill(use);
    Object.assign(use, timed);
    use.tokens = Math.min(use.tokens, capacityOf(use.limit));
  }

  /**
   * Tells when a team may start its next task.
   *
   * @returns a time that has come, a later one, or `Infinity` before a slot or a quota is free
   */
  openAtMs(teamId: string): number {
    const use = this.teams.get(teamId);
    const nowMs = this.clock.nowMs();
    if (use === undefined) {
      return nowMs;
    }
    this.refill(use);
    if (use.running >= use.limit.slots || use.limit.startsPerS === 0) {
      return Infinity;
    }
    const missing = 1 - use.tokens;
    return missing <= tokenTolerance ? nowMs : nowMs + (missing / use.limit.startsPerS) * msPerS;
  }

  started(teamId: string): void {
    const use = this.teams.get(teamId);
    if (use !== undefined) {
      this.refill(use);
      use.running += 1;
      use.tokens -= 1;
    }
  }

  /** Takes back a start that did not happen. */
  undoStart(teamId: string): void {
    const use = this.teams.get(teamId);
    if (use !== undefined) {
      this.refill(use);
      use.running = Math.max(use.running - 1, 0);
      use.tokens = Math.min(use.tokens + 1, capacityOf(use.limit));
    }
  }

  ended(teamId: string): void {
    const use = this.teams.get(teamId);
    if (use !== undefined) {
      use.running = Math.max(use.running - 1, 0);
    }
  }

  /** A process that was paused finds the limit over before it starts anything. */
  private refill(use: TeamUse): void {
    const nowMs = this.clock.nowMs();
    if (nowMs >= use.untilMs) {
      addTokens(use, use.untilMs);
      use.limit = use.afterwards;
      use.untilMs = Infinity;
    }
    addTokens(use, nowMs);
  }
}

const addTokens = (use: TeamUse, nowMs: number): void => {
  const addedMs = Math.max(nowMs - use.filledAtMs, 0);
  const tokens = use.tokens + (addedMs / msPerS) * use.limit.startsPerS;
  use.tokens = Math.min(tokens, capacityOf(use.limit));
  use.filledAtMs = nowMs;
};

const capacityOf = ({ startsPerS }: QuotaLimit): number =>
  Math.max(1, (startsPerS * burstMs) / msPerS);
