/**
 * What a daemon has borrowed of the shares of others. Each loan ends a fixed time after the notice
 * that it answers was written, so it ends here before it ends at its lender.
 */
import { addLimits, loanMs } from './lentQuota.js';
import type { QuotaLimit } from './quotaGate.js';
import { noShare } from './quotaShares.js';
import type { QuotaLoan } from '../types/limits.js';

interface BorrowedPart {
  readonly loan: QuotaLoan;
  readonly endsAtMs: number;
}

export class BorrowedQuota {
  private beat = 0;
  private readonly writtenAtMs = new Map<number, number>();
  private readonly parts = new Map<string, BorrowedPart>();

  private constructor() {
    // Built by create.
  }

  static create(): BorrowedQuota {
    return new BorrowedQuota();
  }

  /**
   * Numbers a notice that is written now.
   *
   * @param nowMs - monotonic time
   */
  nextBeat(nowMs: number): number {
    this.beat += 1;
    this.writtenAtMs.set(this.beat, nowMs);
    for (const [beat, atMs] of this.writtenAtMs) {
      if (nowMs - atMs > loanMs) {
        this.writtenAtMs.delete(beat);
      }
    }
    return this.beat;
  }

  /**
   * Takes a loan, unless a newer one of the same lender is known or it has ended.
   *
   * @param lender - incarnation of the lender
   * @param loan - the loan
   */
  take(lender: string, loan: QuotaLoan): void {
    const writtenAtMs = this.writtenAtMs.get(loan.beat);
    const key = `${lender} ${loan.teamId}`;
    const known = this.parts.get(key);
    if (writtenAtMs === undefined || (known !== undefined && known.loan.beat >= loan.beat)) {
      return;
    }
    this.parts.set(key, { loan, endsAtMs: writtenAtMs + loanMs });
  }

  /**
   * Sums up what may be used of the loans of one team.
   *
   * @param teamId - the team
   * @param nowMs - monotonic time
   */
  borrowedOf(teamId: string, nowMs: number): QuotaLimit {
    let sum = noShare;
    for (const [key, { loan, endsAtMs }] of this.parts) {
      if (endsAtMs <= nowMs) {
        this.parts.delete(key);
      } else if (loan.teamId === teamId) {
        sum = addLimits(sum, loan);
      }
    }
    return sum;
  }

  /** @returns when the next loan ends, or nothing without loans */
  nextEndAtMs(): number | undefined {
    const ends = [...this.parts.values()].map(({ endsAtMs }) => endsAtMs);
    return ends.length === 0 ? undefined : Math.min(...ends);
  }
}
