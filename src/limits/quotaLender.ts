/**
 * Decides which daemons get loans of this daemon's idle quota, by the demands in their heartbeats.
 */
import type { BorrowerReport, LentQuota } from './lentQuota.js';
import { subtractLimits } from './lentQuota.js';
import type { QuotaLimit } from './quotaLimiter.js';
import { maxLoansPerNotice } from '../types/limits.js';
import type { QuotaDemand, QuotaLoan, QuotaNotice } from '../types/limits.js';

/** Age up to which a demand gets a loan. */
const maxDemandAgeMs = 2_000;
/** Time without a new notice after which the last one of a daemon is removed. */
const forgetDaemonAfterMs = 600_000;

/** The last quota notice of another daemon. */
interface ReceivedNotice {
  /** Monotonic time at which it first arrived. */
  readonly receivedAtMs: number;
  /** Undefined where the last heartbeat carried no notice. */
  readonly notice: QuotaNotice | undefined;
  /** Loans that were granted for the notice; sent again until the next notice arrives. */
  loans: QuotaLoan[] | undefined;
}

export class QuotaLender {
  /** By the incarnation of the sender. */
  private readonly lastNotices = new Map<string, ReceivedNotice>();

  private constructor(
    private readonly lentQuota: LentQuota,
    private readonly incarnation: string,
  ) {}

  /**
   * @param lentQuota - records what this daemon has lent
   * @param incarnation - incarnation of this daemon
   */
  static create(lentQuota: LentQuota, incarnation: string): QuotaLender {
    return new QuotaLender(lentQuota, incarnation);
  }

  /**
   * Records the notice of another daemon; a repeated one keeps the time of its first arrival.
   *
   * @param incarnation - incarnation of the sender
   * @param notice - the notice, or undefined where the heartbeat carries none
   * @param nowMs - monotonic time
   */
  receiveNotice(incarnation: string, notice: QuotaNotice | undefined, nowMs: number): void {
    const previous = this.lastNotices.get(incarnation);
    const isRepeated = previous?.notice !== undefined && previous.notice.beat === notice?.beat;
    if (incarnation === this.incarnation || isRepeated) {
      return;
    }
    this.lastNotices.set(incarnation, { receivedAtMs: nowMs, notice, loans: undefined });
  }

  /**
   * Returns how many borrowed slots of a team a daemon last reported.
   *
   * @returns undefined before its first heartbeat, and where the last one leaves out teams
   */
  borrowerReport(incarnation: string, teamId: string): BorrowerReport | undefined {
    const received = this.lastNotices.get(incarnation);
    if (received === undefined || received.notice?.isComplete === false) {
      return undefined;
    }
    const demand = received.notice?.demands.find((one) => one.teamId === teamId);
    return { receivedAtMs: received.receivedAtMs, borrowedSlots: demand?.borrowedSlots ?? 0 };
  }

  /**
   * Lends the idle shares of this daemon to those that need more, in proportion to the tasks that
   * wait there. Each notice gets its loans once.
   *
   * @param nowMs - monotonic time
   * @param idleShareOf - returns the part of a team's share that this daemon does not need itself
   * @returns the loans to send, those of earlier calls included while their demand is recent
   */
  lendIdleShares(nowMs: number, idleShareOf: (teamId: string) => QuotaLimit): QuotaLoan[] {
    const loans: QuotaLoan[] = [];
    for (const [incarnation, received] of this.lastNotices) {
      if (nowMs - received.receivedAtMs > forgetDaemonAfterMs) {
        this.lastNotices.delete(incarnation);
      }
      if (received.notice === undefined || nowMs - received.receivedAtMs > maxDemandAgeMs) {
        continue;
      }
      received.loans ??= this.answer(incarnation, received.notice, nowMs, idleShareOf);
      loans.push(...received.loans);
    }
    return loans.slice(0, maxLoansPerNotice);
  }

  /** Grants and records a loan for each team of a notice that has waiting tasks. */
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
        const idle = subtractLimits(idleShareOf(teamId), this.lentQuota.lentLimit(teamId, to));
        const fraction = demand.waitingTasks / this.sumWaitingTasks(demand, nowMs);
        const startsPerS = idle.startsPerS * fraction;
        const slots = Math.ceil(idle.slots * fraction);
        if (startsPerS === 0 && slots === 0) {
          return [];
        }
        this.lentQuota.addLoan(teamId, to, { startsPerS, slots }, nowMs);
        return [{ to, beat, teamId, startsPerS, slots }];
      });
  }

  /** Sums up the waiting tasks of a team in all recent demands. */
  private sumWaitingTasks({ teamId }: QuotaDemand, nowMs: number): number {
    let waitingTasks = 0;
    for (const { notice, receivedAtMs } of this.lastNotices.values()) {
      const demand = notice?.demands.find((one) => one.teamId === teamId);
      waitingTasks += nowMs - receivedAtMs > maxDemandAgeMs ? 0 : (demand?.waitingTasks ?? 0);
    }
    return waitingTasks;
  }
}
