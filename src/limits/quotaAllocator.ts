/**
 * Enforces the quotas of teams over all daemons, also during a network partition: each daemon has
 * an equal share of every quota, and lends the unused part to daemons that need more.
 */
import type { ActiveConfiguration } from '../configuration/configurationStore.js';
import type { Quota } from '../types/configuration.js';
import type { Clock } from '../ports/clock.js';
import type { TaskQueue } from '../queue/taskQueue.js';
import { BorrowedQuota } from './borrowedQuota.js';
import { addLimits, LentQuota, subtractLimits } from './lentQuota.js';
import { QuotaLender } from './quotaLender.js';
import type { QuotaLimit, TimedLimit } from './quotaLimiter.js';
import { zeroLimit } from './quotaShares.js';
import { ShareTracker } from './shareTracker.js';
import { maxDemandsPerNotice } from '../types/limits.js';
import type { DomainMembers, QuotaDemand, QuotaNotice } from '../types/limits.js';

/** Period at which limits follow the membership and the expiry of loans without other events. */
const refreshPeriodMs = 500;

export interface QuotaAllocatorOptions {
  readonly incarnation: string;
  readonly vmId: string;
  readonly failureDomainId: string;
  readonly clock: Clock;
  /** Queue whose teams are limited. */
  readonly queue: TaskQueue;
  /** Returns the daemons of the failure domain as this one knows them now. */
  readonly members: () => DomainMembers;
}

/** The quota of one team and what this daemon may use of it. */
interface TeamAllocation {
  readonly quota: Quota;
  /** This daemon's own share, before loans in either direction. */
  share: QuotaLimit;
  /** The limit that was last set on the queue. */
  appliedLimit: TimedLimit | undefined;
}

export class QuotaAllocator {
  private readonly lentQuota = LentQuota.create();
  private readonly borrowedQuota = BorrowedQuota.create();
  private readonly lender: QuotaLender;
  private readonly shares: ShareTracker;
  /** Allocation of each team with a quota, by team id. */
  private readonly allocations = new Map<string, TeamAllocation>();
  private readonly stop = new AbortController();
  private readonly refreshLoop: Promise<void>;
  /** Longest time that any task may run: the largest deadline of a job. */
  private maxTaskMs = 0;

  private constructor(private readonly options: QuotaAllocatorOptions) {
    this.shares = ShareTracker.create(options);
    this.lender = QuotaLender.create(this.lentQuota, options.incarnation);
    this.refreshLoop = this.runRefreshLoop();
  }

  static create(options: QuotaAllocatorOptions): QuotaAllocator {
    return new QuotaAllocator(options);
  }

  /** Applies the quotas of a new configuration at once, also to waiting work. */
  apply({ record, rules }: ActiveConfiguration): void {
    const { failureDomains } = record.configuration.inventory;
    this.maxTaskMs = rules.maxDeadlineMs;
    this.shares.setFailureDomains(failureDomains.map((domain) => domain.failureDomainId));
    const quotas = new Map(rules.quotas.map((quota) => [quota.teamId, quota]));
    for (const teamId of this.allocations.keys()) {
      if (!quotas.has(teamId)) {
        this.allocations.delete(teamId);
        this.options.queue.setQuota(teamId, undefined);
      }
    }
    for (const [teamId, quota] of quotas) {
      const previous = this.allocations.get(teamId);
      const share = previous?.share ?? this.shares.initialShare(quota);
      this.allocations.set(teamId, { quota, share, appliedLimit: previous?.appliedLimit });
    }
    this.refresh();
  }

  /**
   * Processes the quota notice in a heartbeat of another daemon: its demands, and its loans to this
   * daemon.
   *
   * @param incarnation - incarnation of the other daemon
   * @param notice - the notice; undefined where the heartbeat carries none
   */
  receiveNotice(incarnation: string, notice: QuotaNotice | undefined): void {
    const { clock } = this.options;
    this.lender.receiveNotice(incarnation, notice, clock.nowMs());
    const loans = notice?.loans.filter((loan) => loan.to === this.options.incarnation) ?? [];
    loans.forEach((loan) => this.borrowedQuota.addLoan(incarnation, loan));
    if (loans.length > 0) {
      this.refresh();
    }
  }

  /**
   * Composes the quota notice of the next heartbeat, and grants the loans in it.
   *
   * @returns the notice, or undefined where this daemon neither needs nor lends anything
   */
  composeNotice(): QuotaNotice | undefined {
    const nowMs = this.options.clock.nowMs();
    const allDemands = this.listDemands();
    const demands = allDemands.slice(0, maxDemandsPerNotice);
    const isComplete = allDemands.length === demands.length;
    const loans = this.lender.lendIdleShares(nowMs, (teamId) => this.idleShare(teamId));
    if (loans.length > 0) {
      // Reduces the limits of this daemon before the borrower learns of the loan.
      this.refresh();
    }
    if (demands.length === 0 && loans.length === 0) {
      return undefined;
    }
    return { beat: this.borrowedQuota.nextNoticeNumber(nowMs), demands, isComplete, loans };
  }

  /**
   * Computes the most that a team can use on this daemon when the others lend all that they can:
   * the share of the whole failure domain if every daemon of it is reachable, else only this
   * daemon's.
   *
   * @returns the limit, or undefined for a team without quota
   */
  attainableLimit(teamId: string): QuotaLimit | undefined {
    const allocation = this.allocations.get(teamId);
    return allocation === undefined ? undefined : this.shares.attainableShare(allocation.quota);
  }

  /** Recomputes the limit of every team from the membership, the loans and the time. */
  refresh(): void {
    const nowMs = this.options.clock.nowMs();
    this.shares.update();
    this.lentQuota.removeReturned(nowMs, this.maxTaskMs, (borrower, teamId) =>
      this.lender.borrowerReport(borrower, teamId),
    );
    const expiresAtMs = this.borrowedQuota.nextExpiryAtMs() ?? Infinity;
    for (const [teamId, allocation] of this.allocations) {
      allocation.share = this.shares.nextShare(allocation.quota, allocation.share);
      const own = subtractLimits(allocation.share, this.lentQuota.lentLimit(teamId));
      const limit = addLimits(own, this.borrowedQuota.borrowedLimit(teamId, nowMs));
      this.applyLimit(teamId, allocation, { limit, expiresAtMs, limitAfterExpiry: own });
    }
  }

  async close(): Promise<void> {
    this.stop.abort();
    await this.refreshLoop;
  }

  private async runRefreshLoop(): Promise<void> {
    while (!this.stop.signal.aborted) {
      await this.options.clock.sleep(refreshPeriodMs, this.stop.signal);
      this.refresh();
    }
  }

  /** Sets a limit on the queue, unless it is the one that was set last. */
  private applyLimit(teamId: string, allocation: TeamAllocation, timed: TimedLimit): void {
    if (allocation.appliedLimit === undefined || !isSameLimit(allocation.appliedLimit, timed)) {
      allocation.appliedLimit = timed;
      this.options.queue.setQuota(teamId, timed);
    }
  }

  /**
   * Lists the teams that need a loan or hold borrowed slots, those with most borrowed slots first.
   */
  private listDemands(): QuotaDemand[] {
    const { queue } = this.options;
    const demands: QuotaDemand[] = [];
    for (const [teamId, { share }] of this.allocations) {
      const own = subtractLimits(share, this.lentQuota.lentLimit(teamId));
      const borrowedSlots = Math.max(queue.quotas.limiter.runningTasks(teamId) - own.slots, 0);
      const waitingTasks = queue.countWaitingOfTeam(teamId);
      const needsLoan = waitingTasks > 0 && queue.quotas.isThrottled(teamId);
      if (needsLoan || borrowedSlots > 0) {
        demands.push({ teamId, waitingTasks, borrowedSlots });
      }
    }
    return demands.sort(
      (a, b) => b.borrowedSlots - a.borrowedSlots || b.waitingTasks - a.waitingTasks,
    );
  }

  /**
   * Computes the part of a team's share that this daemon does not need itself, before loans;
   * nothing while work of the team waits here. One of several slots is always kept: in a network
   * partition a lent slot is returned late, and the team could start nothing here until then.
   */
  private idleShare(teamId: string): QuotaLimit {
    const { queue } = this.options;
    const share = this.allocations.get(teamId)?.share ?? zeroLimit;
    if (queue.countWaitingOfTeam(teamId) > 0) {
      return zeroLimit;
    }
    const reservedSlots = share.slots > 1 ? 1 : 0;
    const slots = Math.max(queue.quotas.limiter.runningTasks(teamId), reservedSlots);
    return subtractLimits(share, { startsPerS: 0, slots });
  }
}

const isSameLimit = (a: TimedLimit, b: TimedLimit): boolean =>
  a.expiresAtMs === b.expiresAtMs &&
  a.limit.startsPerS === b.limit.startsPerS &&
  a.limit.slots === b.limit.slots &&
  a.limitAfterExpiry.startsPerS === b.limitAfterExpiry.startsPerS &&
  a.limitAfterExpiry.slots === b.limitAfterExpiry.slots;
