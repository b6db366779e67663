/**
 * What a daemon has lent of its shares. A loan counts as lent until its borrower can no longer use
 * it, whether or not the borrower is heard.
 */
import type { QuotaLimit } from './quotaGate.js';
import { noShare } from './quotaShares.js';

/** Time for which a borrower may use a loan, counted from its request. */
export const loanMs = 3_000;
/** Added on the lender's side for clocks that run at unequal speed. */
const clockMarginMs = 200;
/** A notice that comes this long after the end of a loan was written after it. */
const noticeDelayMs = 1_000;

/** One loan, as its lender counts it. */
interface LentPart extends QuotaLimit {
  readonly borrower: string;
  readonly endsAtMs: number;
}

/** What a borrower last told. */
export interface BorrowerReport {
  readonly heardAtMs: number;
  readonly borrowedSlots: number;
}

export class LentQuota {
  private readonly teams = new Map<string, LentPart[]>();

  private constructor() {
    // Built by create.
  }

  static create(): LentQuota {
    return new LentQuota();
  }

  /**
   * Notes a loan.
   *
   * @param teamId - whose quota
   * @param borrower - incarnation of the daemon that may use it
   * @param limit - what it may use
   * @param nowMs - monotonic time
   */
  lend(teamId: string, borrower: string, limit: QuotaLimit, nowMs: number): void {
    const endsAtMs = nowMs + loanMs + clockMarginMs;
    const parts = this.teams.get(teamId) ?? [];
    parts.push({ borrower, endsAtMs, ...limit });
    this.teams.set(teamId, parts);
  }

  /**
   * Sums up what is lent of one team's share; of several loans to one borrower the largest counts.
   *
   * @param teamId - the team
   * @param except - a borrower to leave out
   */
  lentOf(teamId: string, except?: string): QuotaLimit {
    const largest = new Map<string, QuotaLimit>();
    for (const part of this.teams.get(teamId) ?? []) {
      if (part.borrower !== except) {
        const known = largest.get(part.borrower) ?? noShare;
        largest.set(part.borrower, {
          startsPerS: Math.max(known.startsPerS, part.startsPerS),
          slots: Math.max(known.slots, part.slots),
        });
      }
    }
    return [...largest.values()].reduce(addLimits, noShare);
  }

  /**
   * Drops loans that have ended. A slot stays lent while a task of the borrower may hold it.
   *
   * @param nowMs - monotonic time
   * @param maxTaskMs - time after which no task that started before still runs
   * @param reportOf - tells what a borrower last told of a team
   */
  settle(
    nowMs: number,
    maxTaskMs: number,
    reportOf: (borrower: string, teamId: string) => BorrowerReport | undefined,
  ): void {
    for (const [teamId, parts] of this.teams) {
      const left = parts.flatMap((part) => {
        const report = reportOf(part.borrower, teamId);
        return nowMs < part.endsAtMs ? [part] : settleEnded(part, nowMs, maxTaskMs, report);
      });
      if (left.length === 0) {
        this.teams.delete(teamId);
      } else {
        this.teams.set(teamId, left);
      }
    }
  }
}

const settleEnded = (
  part: LentPart,
  nowMs: number,
  maxTaskMs: number,
  report: BorrowerReport | undefined,
): LentPart[] => {
  const isReported = report !== undefined && report.heardAtMs >= part.endsAtMs + noticeDelayMs;
  const slots = isReported ? Math.min(part.slots, report.borrowedSlots) : part.slots;
  const isOver = slots === 0 || nowMs >= part.endsAtMs + maxTaskMs;
  return isOver ? [] : [{ ...part, startsPerS: 0, slots }];
};

/** @returns both limits together */
export const addLimits = (a: QuotaLimit, b: QuotaLimit): QuotaLimit => ({
  startsPerS: a.startsPerS + b.startsPerS,
  slots: a.slots + b.slots,
});

/** @returns what is left of a limit, never below nothing */
export const subtractLimits = (a: QuotaLimit, b: QuotaLimit): QuotaLimit => ({
  startsPerS: Math.max(a.startsPerS - b.startsPerS, 0),
  slots: Math.max(a.slots - b.slots, 0),
});
