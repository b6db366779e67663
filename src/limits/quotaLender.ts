/**
 * Decides what to lend to whom, from the demands that other daemons tell.
 */
import type { BorrowerReport, LentQuota } from './lentQuota.js';
import { subtractLimits } from './lentQuota.js';
import type { QuotaLimit } from './quotaGate.js';
import { maxLoans } from '../types/limits.js';
import type { QuotaDemand, QuotaLoan, QuotaNotice } from '../types/limits.js';

/** Age up to which a demand is answered. */
const freshMs = 2_000;
/** Age after which a daemon is forgotten. */
const forgetAfterMs = 600_000;

/** What another daemon last told. */
interface Borrower {
  readonly heardAtMs: number;
  readonly notice: QuotaNotice | undefined;
  /** Loans that answer the notice; they are told again until the next one comes. */
  loans: QuotaLoan[] | undefined;
}

export class QuotaLender {
  private readonly borrowers = new Map<string, Borrower>();

  private constructor(
    private readonly lent: LentQuota,
    private readonly incarnation: string,
  ) {}

  /**
   * @param lent - what this daemon has lent
   * @param incarnation - this daemon
   */
  static create(lent: LentQuota, incarnation: string): QuotaLender {
    return new QuotaLender(lent, incarnation);
  }

  hear(incarnation: string, notice: QuotaNotice | undefined, nowMs: number): void {
    const known = this.borrowers.get(incarnation);
    const isRepeated = known?.notice !== undefined && known.notice.beat === notice?.beat;
    if (incarnation === this.incarnation || isRepeated) {
      return;
    }
    this.borrowers.set(incarnation, { heardAtMs: nowMs, notice, loans: undefined });
  }

  /** @returns what a daemon last told of its borrowed slots, if it told of all */
  reportOf(incarnation: string, teamId: string): BorrowerReport | undefined {
    const borrower = this.borrowers.get(incarnation);
    if (borrower === undefined || borrower.notice?.isComplete === false) {
      return undefined;
    }
    const demand = borrower.notice?.demands.find((one) => one.teamId === teamId);
    return { heardAtMs: borrower.heardAtMs, borrowedSlots: demand?.borrowedSlots ?? 0 };
  }

  /**
   * Lends what is idle to those who need it, in parts by the work that waits there.
   *
   * @param nowMs - monotonic time
   * @param idleShareOf - what this daemon does not use itself of a team's share
   */
  lend(nowMs: number, idleShareOf: (teamId: string) => QuotaLimit): QuotaLoan[] {
    const loans: QuotaLoan[] = [];
    for (const [incarnation, borrower] of this.borrowers) {
      if (nowMs - borrower.heardAtMs > forgetAfterMs) {
        this.borrowers.delete(incarnation);
      }
      if (borrower.notice === undefined || nowMs - borrower.heardAtMs > freshMs) {
        continue;
      }
      borrower.loans ??= this.answer(incarnation, borrower.notice, nowMs, idleShareOf);
      loans.push(...borrower.loans);
    }
    return loans.slice(0, maxLoans);
  }

  private answer(
    to: string,
    { beat, demands }: QuotaNotice,
    nowMs: number,
    idleShareOf: (teamId: string) => QuotaLimit,
  ): QuotaLoan[] {
    return demands
      .filter(({ waitingTasks }) => waitingTasks > 0)
      .flatMap((demand) => {
        const { teamId } = demand;
        const idle = subtractLimits(idleShareOf(teamId), this.lent.lentOf(teamId, to));
        const part = demand.waitingTasks / this.countWaiting(demand, nowMs);
        const startsPerS = idle.startsPerS * part;
        const slots = Math.ceil(idle.slots * part);
        if (startsPerS === 0 && slots === 0) {
          return [];
        }
        this.lent.lend(teamId, to, { startsPerS, slots }, nowMs);
        return [{ to, beat, teamId, startsPerS, slots }];
      });
  }

  private countWaiting({ teamId }: QuotaDemand, nowMs: number): number {
    let waitingTasks = 0;
    for (const { notice, heardAtMs } of this.borrowers.values()) {
      const demand = notice?.demands.find((one) => one.teamId === teamId);
      waitingTasks += nowMs - heardAtMs > freshMs ? 0 : (demand?.waitingTasks ?? 0);
    }
    return waitingTasks;
  }
}
