/**
 * Keeps the teams with quotas within them, over all daemons and under a cut: each daemon has an
 * equal share, and lends what it does not use to daemons that need more.
 */
import type { ActiveConfiguration } from '../configuration/configurationStore.js';
import type { Quota } from '../types/configuration.js';
import type { Clock } from '../ports/clock.js';
import type { TaskQueue } from '../queue/taskQueue.js';
import { BorrowedQuota } from './borrowedQuota.js';
import { addLimits, LentQuota, subtractLimits } from './lentQuota.js';
import type { BorrowerReport } from './lentQuota.js';
import { QuotaLender } from './quotaLender.js';
import type { QuotaLimit, TimedLimit } from './quotaGate.js';
import { findPlace, noShare, shareOf } from './quotaShares.js';
import type { SharePlace } from './quotaShares.js';
import { maxDemands } from '../types/limits.js';
import type { DomainMembers, QuotaDemand, QuotaNotice } from '../types/limits.js';

/**
 * A share grows only after the view of the failure domain was whole and unchanged for this long: by
 * then whoever has to take less knows it, and what it had lent has ended.
 */
const settleMs = 4_000;
const refreshPeriodMs = 500;

export interface QuotaKeeperOptions {
  readonly incarnation: string;
  readonly vmId: string;
  readonly failureDomainId: string;
  readonly clock: Clock;
  readonly queue: TaskQueue;
  readonly members: () => DomainMembers;
}

/** A quota with the share that is in force here. */
interface KeptQuota {
  readonly quota: Quota;
  share: QuotaLimit;
  /** What the queue was last given. */
  given: TimedLimit | undefined;
}

export class QuotaKeeper {
  private readonly lent = LentQuota.create();
  private readonly borrowed = BorrowedQuota.create();
  private readonly lender: QuotaLender;
  private readonly kept = new Map<string, KeptQuota>();
  private readonly stop = new AbortController();
  private readonly refreshing: Promise<void>;
  private failureDomainIds: readonly string[] = [];
  private maxTaskMs = 0;
  private view = '';
  private place: SharePlace = { domainCount: 0, domainRank: -1, daemonCount: 0, daemonRank: -1 };
  private settledFromMs = Infinity;

  private constructor(private readonly options: QuotaKeeperOptions) {
    this.lender = QuotaLender.create(this.lent, options.incarnation);
    this.refreshing = this.keepRefreshing();
  }

  static create(options: QuotaKeeperOptions): QuotaKeeper {
    return new QuotaKeeper(options);
  }

  /** Takes the quotas of a new configuration; they hold at once, also for waiting work. */
  apply({ record, rules }: ActiveConfiguration): void {
    const { failureDomains } = record.configuration.inventory;
    this.failureDomainIds = failureDomains.map((domain) => domain.failureDomainId);
    this.maxTaskMs = rules.maxDeadlineMs;
    this.readView();
    const quotas = new Map(rules.quotas.map((quota) => [quota.teamId, quota]));
    for (const teamId of this.kept.keys()) {
      if (!quotas.has(teamId)) {
        this.kept.delete(teamId);
        this.options.queue.setQuota(teamId, undefined);
      }
    }
    for (const [teamId, quota] of quotas) {
      const known = this.kept.get(teamId);
      const share = known?.share ?? this.firstShare(quota);
      this.kept.set(teamId, { quota, share, given: known?.given });
    }
    this.refresh();
  }

  /**
   * Takes what another daemon tells of quotas.
   *
   * @param incarnation - the other daemon
   * @param notice - what it tells, if anything
   */
  hear(incarnation: string, notice: QuotaNotice | undefined): void {
    const { clock } = this.options;
    this.lender.hear(incarnation, notice, clock.nowMs());
    const loans = notice?.loans.filter((loan) => loan.to === this.options.incarnation) ?? [];
    loans.forEach((loan) => this.borrowed.take(incarnation, loan));
    if (loans.length > 0) {
      this.refresh();
    }
  }

  /** @returns what to tell the other daemons, or nothing where no quota is short */
  composeNotice(): QuotaNotice | undefined {
    const nowMs = this.options.clock.nowMs();
    const all = this.listDemands();
    const demands = all.slice(0, maxDemands);
    const isComplete = all.length === demands.length;
    const loans = this.lender.lend(nowMs, (teamId) => this.idleShareOf(teamId));
    if (loans.length > 0) {
      // What is lent is not used here from before the loan is told.
      this.refresh();
    }
    if (demands.length === 0 && loans.length === 0) {
      return undefined;
    }
    return { beat: this.borrowed.nextBeat(nowMs), demands, isComplete, loans };
  }

  /**
   * Tells what a team may use here once others have lent all that they can.
   *
   * @returns nothing for a team without quota
   */
  reachOf(teamId: string): QuotaLimit | undefined {
    const kept = this.kept.get(teamId);
    if (kept === undefined) {
      return undefined;
    }
    const { vmIds, isWhole } = this.options.members();
    return shareOf(kept.quota, this.findPlace(isWhole ? [this.options.vmId] : vmIds));
  }

  /** Brings the limits up to date with the members, the loans and the time. */
  refresh(): void {
    const nowMs = this.options.clock.nowMs();
    this.readView();
    this.lent.settle(nowMs, this.maxTaskMs, (borrower, teamId) => this.reportOf(borrower, teamId));
    const untilMs = this.borrowed.nextEndAtMs() ?? Infinity;
    for (const [teamId, kept] of this.kept) {
      kept.share = this.nextShare(kept);
      const own = subtractLimits(kept.share, this.lent.lentOf(teamId));
      const limit = addLimits(own, this.borrowed.borrowedOf(teamId, nowMs));
      this.give(teamId, kept, { limit, untilMs, afterwards: own });
    }
  }

  async close(): Promise<void> {
    this.stop.abort();
    await this.refreshing;
  }

  private async keepRefreshing(): Promise<void> {
    while (!this.stop.signal.aborted) {
      await this.options.clock.sleep(refreshPeriodMs, this.stop.signal);
      this.refresh();
    }
  }

  private give(teamId: string, kept: KeptQuota, timed: TimedLimit): void {
    if (kept.given === undefined || !isSameLimit(kept.given, timed)) {
      kept.given = timed;
      this.options.queue.setQuota(teamId, timed);
    }
  }

  /** Notes since when the view of the failure domain is whole and unchanged. */
  private readView(): void {
    const { vmIds, isWhole } = this.options.members();
    const view = [...this.failureDomainIds, '', ...vmIds].join(' ');
    this.place = this.findPlace(vmIds);
    if (!isWhole) {
      this.settledFromMs = Infinity;
    } else if (view !== this.view || this.settledFromMs === Infinity) {
      this.settledFromMs = this.options.clock.nowMs() + settleMs;
    }
    this.view = view;
  }

  private findPlace(vmIds: readonly string[]): SharePlace {
    const { vmId, failureDomainId } = this.options;
    return findPlace({ failureDomainIds: this.failureDomainIds, failureDomainId, vmIds, vmId });
  }

  private get isSettled(): boolean {
    return this.options.clock.nowMs() >= this.settledFromMs;
  }

  /** A team that had no quota before is only ever held to less, by every daemon. */
  private firstShare(quota: Quota): QuotaLimit {
    return this.isSettled ? shareOf(quota, this.place) : noShare;
  }

  private nextShare({ quota, share }: KeptQuota): QuotaLimit {
    const wanted = shareOf(quota, this.place);
    return this.isSettled
      ? wanted
      : {
          startsPerS: Math.min(share.startsPerS, wanted.startsPerS),
          slots: Math.min(share.slots, wanted.slots),
        };
  }

  private listDemands(): QuotaDemand[] {
    const { queue } = this.options;
    const demands: QuotaDemand[] = [];
    for (const [teamId, { share }] of this.kept) {
      const own = subtractLimits(share, this.lent.lentOf(teamId));
      const borrowedSlots = Math.max(queue.quotas.gate.runningOf(teamId) - own.slots, 0);
      const waitingTasks = queue.waitingOfTeam(teamId);
      const isShort = waitingTasks > 0 && queue.quotas.isParked(teamId);
      if (isShort || borrowedSlots > 0) {
        demands.push({ teamId, waitingTasks, borrowedSlots });
      }
    }
    return demands.sort(
      (a, b) => b.borrowedSlots - a.borrowedSlots || b.waitingTasks - a.waitingTasks,
    );
  }

  /**
   * What this daemon's own work of a team leaves of its share, before any loan. The last of several
   * slots is kept, since after a cut a lent slot comes back late.
   */
  private idleShareOf(teamId: string): QuotaLimit {
    const { queue } = this.options;
    const share = this.kept.get(teamId)?.share ?? noShare;
    if (queue.waitingOfTeam(teamId) > 0) {
      return noShare;
    }
    const keptSlots = share.slots > 1 ? 1 : 0;
    const slots = Math.max(queue.quotas.gate.runningOf(teamId), keptSlots);
    return subtractLimits(share, { startsPerS: 0, slots });
  }

  private reportOf(borrower: string, teamId: string): BorrowerReport | undefined {
    return this.lender.reportOf(borrower, teamId);
  }
}

const isSameLimit = (a: TimedLimit, b: TimedLimit): boolean =>
  a.untilMs === b.untilMs &&
  a.limit.startsPerS === b.limit.startsPerS &&
  a.limit.slots === b.limit.slots &&
  a.afterwards.startsPerS === b.afterwards.startsPerS &&
  a.afterwards.slots === b.afterwards.slots;
