/**
 * Reads the reports of one worker and applies them to the table of its runs. A report is the answer
 * to a hold: a long poll that may also renew the leases of the worker's runs.
 */
import { unreachable } from '../errors/unreachable.js';
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { OrderFailure } from '../ports/workers.js';
import type { WorkerRecord, WorkerReport } from '../types/workers.js';
import type { WakeableSleep } from '../utils/wakeableSleep.js';
import { recordDisconnection, recordDoubt } from './activeRun.js';
import type { ActiveRun } from './activeRun.js';
import { FailedHolds } from './failedHolds.js';
import { ReportProcessor } from './reportProcessor.js';
import type { RunTable } from './runTable.js';
import { OrphanedRuns } from './orphanedRuns.js';
import type { Silence } from './runEvidence.js';
import { judgeSilence } from './silenceEvidence.js';
import type { Addressee } from './silenceEvidence.js';
import type { AnsweringLifetime } from './workerLifetime.js';
import type { LinkHoldReply, WorkerLink } from './workerLink.js';

/** Longest wait for the end of a run in one hold, in milliseconds; well under a full lease. */
const maxHoldWaitMs = 300;
/** Poll period of an idle worker, which keeps the reading of its clock recent. */
export const idlePollMs = 5_000;
/** Poll period of an idle worker with ends to acknowledge, or that may have restarted. */
const unsettledPollMs = 1_000;

export interface WorkerReportsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly link: WorkerLink;
  readonly runs: RunTable;
  /** Pauses after failed holds; the owner may end a pause early. */
  readonly sleeper: WakeableSleep;
  /** Called with each run of the table that a report lists as running. */
  readonly onStart: (run: ActiveRun) => void;
  /** Called with the lifetime that has answered a hold, before its report is applied further. */
  readonly onLifetime: (answering: AnsweringLifetime) => void;
  /** Called after each report was applied. */
  readonly onReport: () => void;
}

/** What was known when a report was requested. */
interface ReportRequest {
  /** In monotonic time. */
  readonly requestedAtMs: number;
  readonly entry: WorkerRecord;
}

export class WorkerReports {
  private readonly processor: ReportProcessor;
  /** Number of the last end that was acknowledged to the worker. */
  private acknowledgedEnd = 0;
  private readonly failedHolds = FailedHolds.create();
  /** When the last report was received, in monotonic time. */
  private lastReportAtMs: number;
  /** The entry that was there when the last report was requested, which the worker's own report outweighs. */
  private checkedEntry: WorkerRecord | undefined;
  private isClosed = false;

  private constructor(private readonly options: WorkerReportsOptions) {
    const { clock, link, runs, onStart } = options;
    this.lastReportAtMs = clock.nowMs();
    const orphans = OrphanedRuns.create(({ taskName, run }) => link.stop(taskName, run));
    const onOrphan = orphans.stop.bind(orphans);
    this.processor = ReportProcessor.create({ clock, runs, onStart, onOrphan });
  }

  static create(options: WorkerReportsOptions): WorkerReports {
    return new WorkerReports(options);
  }

  /** Whether no hold has failed since the last report, and the worker's entry is of its last lifetime. */
  get isAnswering(): boolean {
    return this.failedHolds.count === 0 && !this.isEntryOfOtherLifetime;
  }

  /** Whether the worker's entry and its reports state different lifetimes. The entry proves nothing. */
  private get isEntryOfOtherLifetime(): boolean {
    const { record, lifetime } = this.options.link;
    const known = lifetime.startedAtMs;
    return known !== undefined && record.startedAtMs !== undefined && record.startedAtMs !== known;
  }

  /**
   * Whether the worker's entry may be of a later lifetime than its last report: no report was requested since
   * the entry is there. One that was, and is of another lifetime, shows that the entry is of an earlier one.
   */
  get mayHaveRestarted(): boolean {
    return this.isEntryOfOtherLifetime && this.options.link.record !== this.checkedEntry;
  }

  /**
   * Number of the last end to acknowledge; none while a later lifetime may answer, which counts its ends anew and
   * would forget them unread.
   */
  private get acknowledgeableEnd(): number {
    const isInDoubt = this.options.link.lifetime.isInDoubt || this.mayHaveRestarted;
    return isInDoubt ? 0 : this.processor.lastSeenEnd;
  }

  /** Pause before the next hold while the worker has no runs; none after a failed hold, which pauses itself. */
  private get idlePauseMs(): number {
    if (this.failedHolds.count > 0) {
      return 0;
    }
    const areEndsAcknowledged = this.acknowledgedEnd === this.processor.lastSeenEnd;
    return areEndsAcknowledged && !this.mayHaveRestarted ? idlePollMs : unsettledPollMs;
  }

  /** Waits before the next hold if the worker has no runs; a started run ends the wait. */
  async waitWhileIdle(): Promise<void> {
    const { runs, sleeper } = this.options;
    const { idlePauseMs } = this;
    if (runs.size === 0 && idlePauseMs > 0) {
      await sleeper.sleep(idlePauseMs);
    }
  }

  /**
   * Renews the leases of the worker's runs, and waits for the next end if there are runs. After a failed
   * hold nothing is renewed until the worker has answered again, since the runs of a worker that is gone
   * can start elsewhere only when the last lease has ended.
   */
  async hold(): Promise<void> {
    const isImmediate = this.failedHolds.count > 0 || this.options.runs.size === 0;
    await this.sendHold(isImmediate ? 0 : maxHoldWaitMs, this.renewalLimitMs);
  }

  /** Latest time at which leases that are renewed now may end, in monotonic time; undefined to renew none. */
  private get renewalLimitMs(): number | undefined {
    const { clock, runs } = this.options;
    const limitMs = runs.permittedUntilMs;
    const isRenewing = this.failedHolds.count === 0 && runs.size > 0 && limitMs > clock.nowMs();
    return isRenewing ? limitMs : undefined;
  }

  /**
   * Reads and applies a report at once, without renewing leases.
   *
   * @returns the report, or undefined if the hold failed
   */
  readWithoutRenewal(): Promise<WorkerReport | undefined> {
    return this.sendHold(0);
  }

  /** Reads and applies a report at once, also while another hold waits; returns nothing if none was applied. */
  async poll(): Promise<WorkerReport | undefined> {
    const { clock, link } = this.options;
    if (link.isFenced || this.isClosed) {
      return undefined;
    }
    const lastSeenEnd = this.acknowledgeableEnd;
    const request = { requestedAtMs: clock.nowMs(), entry: link.record };
    const reply = await link.hold({ lastSeenEnd, waitMs: 0, renewalLimitMs: undefined });
    return reply.kind === 'held' && this.applyReport(reply, request) ? reply.report : undefined;
  }

  /**
   * Ends the runs whose leases have certainly ended. The others go on, and so does the doubt about those whose start
   * was never answered, as long as the worker may still get it.
   */
  endLapsedRuns(cause: Silence, addressee: Addressee = this.options.link.addressee): void {
    const { link, logger, runs } = this.options;
    const haveAllLeasesEnded = link.leaseClock.haveAllLeasesEnded();
    const worker = { haveAllLeasesEnded, cause, addressee };
    const { ended, inDoubt } = judgeSilence(runs.list(), worker);
    const { workerId } = link;
    for (const { taskName, run } of inDoubt.filter(recordDoubt)) {
      logger.warn('A start in doubt is waited for.', { workerId, taskName, run });
    }
    this.logLostRuns(`its leases have ended: ${cause}`, ended.length);
    ended.forEach(({ run, evidence }) => runs.finish(run, evidence));
  }

  /**
   * Starts over with what a worker counts anew in each lifetime. Stops that an earlier lifetime has confirmed
   * prove nothing, since starts that are under way may arrive in the new one.
   */
  beginLifetime(): void {
    const { link, logger, runs } = this.options;
    logger.info('The worker has restarted.', { workerId: link.workerId });
    this.processor.resetEndNumbers();
    this.acknowledgedEnd = 0;
    for (const run of runs.list()) {
      run.stopAcknowledgedAtMs = undefined;
    }
    const { startedAtMs } = link.lifetime;
    const isOfEarlier = ({ lifetimeMs }: ActiveRun): boolean =>
      lifetimeMs !== undefined && lifetimeMs !== startedAtMs;
    this.logLostRuns('it has restarted', runs.list().filter(isOfEarlier).length);
  }

  /** Ignores all reports from now on. */
  close(): void {
    this.isClosed = true;
  }

  private async sendHold(
    waitMs: number,
    renewalLimitMs?: number,
  ): Promise<WorkerReport | undefined> {
    const { clock, link } = this.options;
    const lastSeenEnd = this.acknowledgeableEnd;
    const request = { requestedAtMs: clock.nowMs(), entry: link.record };
    const reply = await link.hold({ lastSeenEnd, waitMs, renewalLimitMs });
    if (reply.kind !== 'held') {
      await this.handleFailure(reply);
      return undefined;
    }
    this.acknowledgedEnd = lastSeenEnd;
    return this.applyReport(reply, request) ? reply.report : undefined;
  }

  private async handleFailure(failure: OrderFailure): Promise<void> {
    switch (failure.kind) {
      case 'stale-token':
        return;
      case 'replaced':
        this.options.onLifetime({ kind: 'replaced' });
        return this.pauseAfterFailedHold(failure.kind, 'nobody');
      case 'disconnected':
        recordDisconnection(this.options.runs.list(), this.options.clock.nowMs());
        return this.pauseAfterFailedHold(failure.kind);
      case 'unhealthy':
      case 'unreachable':
      case 'no-answer':
        return this.pauseAfterFailedHold(failure.kind);
      default:
        return unreachable(failure);
    }
  }

  private async pauseAfterFailedHold(reason: string, addressee?: Addressee): Promise<void> {
    const { link, logger, runs, sleeper } = this.options;
    if (this.failedHolds.record()) {
      logger.warn('The worker does not answer.', { workerId: link.workerId, reason });
    }
    if (!this.failedHolds.isSilent()) {
      return;
    }
    const { pauseMs } = this.failedHolds;
    const leaseLeftMs = link.leaseClock.msUntilAllLeasesEnded();
    await sleeper.sleep(runs.hasLeasedRuns ? Math.min(pauseMs, leaseLeftMs + 1) : pauseMs);
    if (this.failedHolds.isSilent()) {
      this.endLapsedRuns(link.record.state === 'draining' ? 'draining' : 'silent', addressee);
    }
  }

  /** @returns whether the report was applied, since it is not of an earlier lifetime than the last one */
  private applyReport(
    { report, coveredUntilMs }: Extract<LinkHoldReply, { kind: 'held' }>,
    { requestedAtMs, entry }: ReportRequest,
  ): boolean {
    const { clock, link, logger, onReport } = this.options;
    const { departure } = link;
    const change = link.lifetime.observe(report, requestedAtMs);
    if (this.isClosed || change === 'stale') {
      return false;
    }
    if (this.failedHolds.isSilent()) {
      logger.info('The worker answers again.', { workerId: link.workerId });
    }
    this.failedHolds.reset();
    this.checkedEntry = entry;
    link.leaseClock.recordReading(report.workerClockMs);
    if (change === 'new') {
      this.beginLifetime();
    }
    this.lastReportAtMs = clock.nowMs();
    this.processor.apply(report, {
      requestedAtMs,
      lifetimeMs: report.startedAtMs,
      ...link.lifetime.startRange,
      departure,
      coveredUntilMs,
    });
    this.options.onLifetime(link.lifetime.answering);
    onReport();
    return true;
  }

  private logLostRuns(reason: string, count: number): void {
    const { clock, link, logger } = this.options;
    if (count === 0) {
      return;
    }
    logger.warn('A worker is lost with its runs.', {
      workerId: link.workerId,
      state: link.record.state,
      reason,
      count,
      ageMs: Math.round(clock.nowMs() - this.lastReportAtMs),
    });
  }
}
