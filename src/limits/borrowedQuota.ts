/**
 * The loans that a daemon has received from others. Each expires a fixed time after this daemon
 * composed the notice with the demand, so it expires here before it does at its lender.
 */
import { addLimits, loanDurationMs } from './lentQuota.js';
import type { QuotaLimit } from './quotaLimiter.js';
import { zeroLimit } from './quotaShares.js';
import type { QuotaLoan } from '../types/limits.js';

/** A loan with its expiry at the borrower. */
interface BorrowedLoan {
  readonly loan: QuotaLoan;
  /** Monotonic time from which the loan counts no more. */
  readonly expiresAtMs: number;
}

export class BorrowedQuota {
  /** Number of the last notice that this daemon composed. */
  private lastNoticeNumber = 0;
  /** When each recent notice was composed, by its number; loans for older ones have expired. */
  private readonly noticeComposedAtMs = new Map<number, number>();
  /** The newest loan of each lender and team. */
  private readonly loans = new Map<string, BorrowedLoan>();

  private constructor() {
    // Built by create.
  }

  static create(): BorrowedQuota {
    return new BorrowedQuota();
  }

  /**
   * Returns the number of a notice that is composed now, and records the time.
   *
   * @param nowMs - monotonic time
   */
  nextNoticeNumber(nowMs: number): number {
    this.lastNoticeNumber += 1;
    this.noticeComposedAtMs.set(this.lastNoticeNumber, nowMs);
    for (const [noticeNumber, composedAtMs] of this.noticeComposedAtMs) {
      if (nowMs - composedAtMs > loanDurationMs) {
        this.noticeComposedAtMs.delete(noticeNumber);
      }
    }
    return this.lastNoticeNumber;
  }

  /**
   * Records a loan, unless it has expired or a loan of the same lender and team for this notice or
   * a newer one is known.
   *
   * @param lender - incarnation of the lender
   * @param loan - the loan
   */
  addLoan(lender: string, loan: QuotaLoan): void {
    const composedAtMs = this.noticeComposedAtMs.get(loan.beat);
    const key = `${lender} ${loan.teamId}`;
    const previous = this.loans.get(key);
    if (composedAtMs === undefined || (previous !== undefined && previous.loan.beat >= loan.beat)) {
      return;
    }
    this.loans.set(key, { loan, expiresAtMs: composedAtMs + loanDurationMs });
  }

  /**
   * Sums up the loans of one team that have not expired.
   *
   * @param teamId - the team
   * @param nowMs - monotonic time
   */
  borrowedLimit(teamId: string, nowMs: number): QuotaLimit {
    let sum = zeroLimit;
    for (const [key, { loan, expiresAtMs }] of this.loans) {
      if (expiresAtMs <= nowMs) {
        this.loans.delete(key);
      } else if (loan.teamId === teamId) {
        sum = addLimits(sum, loan);
      }
    }
    return sum;
  }

  /** @returns monotonic time at which the next loan of any team expires; undefined without loans */
  nextExpiryAtMs(): number | undefined {
    const expiries = [...this.loans.values()].map(({ expiresAtMs }) => expiresAtMs);
    return expiries.length === 0 ? undefined : Math.min(...expiries);
  }
}
