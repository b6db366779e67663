/**
 * The loans that a daemon has granted from its shares. A loan counts until its borrower can no
 * longer use it, whether or not the borrower is reachable.
 */
import type { QuotaLimit } from './quotaLimiter.js';
import { zeroLimit } from './quotaShares.js';

/** Time for which a borrower may use a loan, counted from the notice with its demand. */
export const loanDurationMs = 3_000;
/** Added at the lender, since the clocks of two VMs run at slightly different speeds. */
const clockDriftMarginMs = 200;
/** A notice that arrives this long after the expiry of a loan was composed after the expiry. */
const maxNoticeDelayMs = 1_000;

/** One loan as its lender counts it; the limit is what was lent. */
interface LentLoan extends QuotaLimit {
  /** Incarnation of the borrower. */
  readonly borrower: string;
  /** Monotonic time after which the borrower starts nothing more under the loan. */
  readonly expiresAtMs: number;
}

/** What a borrower last reported of one team. */
export interface BorrowerReport {
  /** Monotonic time at which the report arrived. */
  readonly receivedAtMs: number;
  /** Slots that the team holds there beyond the borrower's own share. */
  readonly borrowedSlots: number;
}

export class LentQuota {
  private readonly loansByTeam = new Map<string, LentLoan[]>();

  private constructor() {
    // Built by create.
  }

  static create(): LentQuota {
    return new LentQuota();
  }

  /**
   * Records a loan that is granted now.
   *
   * @param teamId - the team whose quota is lent
   * @param borrower - incarnation of the daemon that may use it
   * @param limit - what is lent
   * @param nowMs - monotonic time
   */
  addLoan(teamId: string, borrower: string, limit: QuotaLimit, nowMs: number): void {
    const expiresAtMs = nowMs + loanDurationMs + clockDriftMarginMs;
    const loans = this.loansByTeam.get(teamId) ?? [];
    loans.push({ borrower, expiresAtMs, ...limit });
    this.loansByTeam.set(teamId, loans);
  }

  /**
   * Sums up what is lent of one team's share. Of several loans to one borrower the largest counts,
   * since a borrower uses only the newest one that it has received.
   *
   * @param teamId - the team
   * @param except - incarnation of a borrower whose loans are left out
   */
  lentLimit(teamId: string, except?: string): QuotaLimit {
    const largest = new Map<string, QuotaLimit>();
    for (const loan of this.loansByTeam.get(teamId) ?? []) {
      if (loan.borrower !== except) {
        const previous = largest.get(loan.borrower) ?? zeroLimit;
        largest.set(loan.borrower, {
          startsPerS: Math.max(previous.startsPerS, loan.startsPerS),
          slots: Math.max(previous.slots, loan.slots),
        });
      }
    }
    return [...largest.values()].reduce(addLimits, zeroLimit);
  }

  /**
   * Removes what is back of expired loans: the starts at the expiry, a slot once no task of the
   * borrower can hold it.
   *
   * @param nowMs - monotonic time
   * @param maxTaskMs - longest time that a task may run, in milliseconds
   * @param reportOf - returns what a borrower last reported of a team, if it reported
   */
  removeReturned(
    nowMs: number,
    maxTaskMs: number,
    reportOf: (borrower: string, teamId: string) => BorrowerReport | undefined,
  ): void {
    for (const [teamId, loans] of this.loansByTeam) {
      const remaining = loans.flatMap((loan) => {
        const report = reportOf(loan.borrower, teamId);
        return nowMs < loan.expiresAtMs
          ? [loan]
          : remainderOfExpired(loan, nowMs, maxTaskMs, report);
      });
      if (remaining.length === 0) {
        this.loansByTeam.delete(teamId);
      } else {
        this.loansByTeam.set(teamId, remaining);
      }
    }
  }
}

/** Returns the slots of an expired loan that may still be in use, or an empty list without any. */
const remainderOfExpired = (
  loan: LentLoan,
  nowMs: number,
  maxTaskMs: number,
  report: BorrowerReport | undefined,
): LentLoan[] => {
  const isReported =
    report !== undefined && report.receivedAtMs >= loan.expiresAtMs + maxNoticeDelayMs;
  const slots = isReported ? Math.min(loan.slots, report.borrowedSlots) : loan.slots;
  const isReturned = slots === 0 || nowMs >= loan.expiresAtMs + maxTaskMs;
  return isReturned ? [] : [{ ...loan, startsPerS: 0, slots }];
};

/** @returns the sum of two limits */
export const addLimits = (a: QuotaLimit, b: QuotaLimit): QuotaLimit => ({
  startsPerS: a.startsPerS + b.startsPerS,
  slots: a.slots + b.slots,
});

/** @returns limit `a` less limit `b`, no part of it below 0 */
export const subtractLimits = (a: QuotaLimit, b: QuotaLimit): QuotaLimit => ({
  startsPerS: Math.max(a.startsPerS - b.startsPerS, 0),
  slots: Math.max(a.slots - b.slots, 0),
});
