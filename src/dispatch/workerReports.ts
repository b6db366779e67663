/**
 * Reads the reports of one worker and applies them to the table of its runs. A report is the answer
 * to a hold: a long poll that may also renew the leases of the worker's runs.
 */
import { unreachable } from '../errors/unreachable.js';
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { OrderFailure } from '../ports/workers.js';
import type { WorkerReport } from '../types/workers.js';
import type { WakeableSleep } from '../utils/wakeableSleep.js';
import type { ActiveRun } from './activeRun.js';
import { ReportProcessor } from './reportProcessor.js';
import type { RunTable } from './runTable.js';
import { OrphanedRuns } from './orphanedRuns.js';
import type { WorkerLink } from './workerLink.js';

/** Longest wait for the end of a run in one hold; well under the shortest lease. */
const maxHoldWaitMs = 300;
/** Failed holds in a row after which the worker counts as not answering. */
const maxFailedHolds = 2;
/** Pause after the failed hold that reaches the limit; grows by as much with each further one. */
const failedHoldPauseMs = 150;
const maxFailedHoldPauseMs = 1_000;

export interface WorkerReportsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly link: WorkerLink;
  readonly runs: RunTable;
  /** Pauses after failed holds; the owner may end a pause early. */
  readonly sleeper: WakeableSleep;
  /** Called with each run of the table that a report lists as running. */
  readonly onStart: (run: ActiveRun) => void;
  /** Called after each report was applied. */
  readonly onReport: () => void;
}

export class WorkerReports {
  private readonly processor: ReportProcessor;
  /** Number of the last end that was acknowledged to the worker. */
  private acknowledgedEnd = 0;
  /** Holds in a row that failed. */
  private failedHolds = 0;
  /** Start time of the worker by its last report, or by its entry before the first report. */
  private reportedStartMs: number | undefined;
  /** When the last report was received, in monotonic time. */
  private lastReportAtMs: number;
  private isClosed = false;

  private constructor(private readonly options: WorkerReportsOptions) {
    const { clock, link, runs, onStart } = options;
    this.lastReportAtMs = clock.nowMs();
    this.reportedStartMs = link.record.startedAtMs;
    const orphans = OrphanedRuns.create(({ taskName, run }) => link.stop(taskName, run));
    const onOrphan = orphans.stop.bind(orphans);
    this.processor = ReportProcessor.create({ clock, runs, onStart, onOrphan });
  }

  static create(options: WorkerReportsOptions): WorkerReports {
    return new WorkerReports(options);
  }

  /** Whether no hold has failed since the last report, and the worker has not restarted since its entry. */
  get isAnswering(): boolean {
    return this.failedHolds === 0 && !this.hasRestarted;
  }

  private get hasRestarted(): boolean {
    const { startedAtMs } = this.options.link.record;
    return startedAtMs !== undefined && startedAtMs !== this.reportedStartMs;
  }

  /** Whether every end that was applied here has been acknowledged to the worker. */
  get areEndsAcknowledged(): boolean {
    return this.acknowledgedEnd === this.processor.lastSeenEnd;
  }

  /**
   * Renews the leases of the worker's runs, and waits for the next end if there are runs. After a failed
   * hold nothing is renewed until the worker has answered again, since the runs of a worker that is gone
   * can start elsewhere only when the last lease has ended.
   */
  async hold(): Promise<void> {
    const isImmediate = this.failedHolds > 0 || this.options.runs.size === 0;
    await this.sendHold(isImmediate ? 0 : maxHoldWaitMs, this.failedHolds === 0);
  }

  /**
   * Reads and applies a report at once, without renewing leases.
   *
   * @returns the report, or undefined if the hold failed
   */
  readWithoutRenewal(): Promise<WorkerReport | undefined> {
    return this.sendHold(0, false);
  }

  /** Reads and applies a report at once, also while another hold waits; ignores a failure. */
  async poll(): Promise<void> {
    const { clock, link } = this.options;
    if (link.isFenced || this.isClosed) {
      return;
    }
    const { lastSeenEnd } = this.processor;
    const sentAtMs = clock.nowMs();
    const reply = await link.hold({ lastSeenEnd, waitMs: 0, renewsLeases: false });
    if (reply.kind === 'held') {
      this.applyReport(reply.report, sentAtMs);
    }
  }

  /**
   * Ends the runs of a worker that has restarted, or that was silent until their leases had ended. A
   * draining worker was expected to leave, so that its runs are not suspected of crashing it.
   *
   * @param reason - how the loss of the worker was noticed
   */
  endRunsOfLostWorker(reason: string): void {
    const { clock, link, logger, runs } = this.options;
    if (runs.size === 0) {
      return;
    }
    logger.warn('A worker is lost with its runs.', {
      workerId: link.workerId,
      state: link.record.state,
      reason,
      count: runs.size,
      ageMs: Math.round(clock.nowMs() - this.lastReportAtMs),
    });
    runs.finishAll({ kind: link.record.state === 'draining' ? 'lost' : 'worker-lost', reason });
  }

  /** Ignores all reports from now on. */
  close(): void {
    this.isClosed = true;
  }

  private async sendHold(waitMs: number, renewsLeases: boolean): Promise<WorkerReport | undefined> {
    const { clock, link } = this.options;
    const { lastSeenEnd } = this.processor;
    const sentAtMs = clock.nowMs();
    const reply = await link.hold({ lastSeenEnd, waitMs, renewsLeases });
    if (reply.kind !== 'held') {
      await this.handleFailure(reply);
      return undefined;
    }
    this.acknowledgedEnd = lastSeenEnd;
    this.applyReport(reply.report, sentAtMs);
    return reply.report;
  }

  private async handleFailure(failure: OrderFailure): Promise<void> {
    switch (failure.kind) {
      case 'stale-token':
        return;
      case 'replaced':
        this.endRunsOfLostWorker('another incarnation answers at its address');
        await this.pauseAfterFailedHold(failure.kind);
        return;
      case 'unhealthy':
      case 'unreachable':
      case 'no-answer':
        await this.pauseAfterFailedHold(failure.kind);
        return;
      default:
        return unreachable(failure);
    }
  }

  private async pauseAfterFailedHold(reason: string): Promise<void> {
    const { link, logger, runs, sleeper } = this.options;
    this.failedHolds += 1;
    if (this.failedHolds < maxFailedHolds) {
      return;
    }
    if (this.failedHolds === maxFailedHolds) {
      logger.warn('The worker does not answer.', { workerId: link.workerId, reason });
    }
    const pauseMs = Math.min(failedHoldPauseMs * (this.failedHolds - 1), maxFailedHoldPauseMs);
    const leaseLeftMs = link.leaseClock.msUntilAllLeasesEnded();
    await sleeper.sleep(runs.size > 0 ? Math.min(pauseMs, leaseLeftMs + 1) : pauseMs);
    if (link.leaseClock.haveAllLeasesEnded()) {
      this.endRunsOfLostWorker('it does not answer');
    }
  }

  private applyReport(report: WorkerReport, sentAtMs: number): void {
    const { link, logger, onReport } = this.options;
    if (this.isClosed) {
      return;
    }
    if (this.failedHolds >= maxFailedHolds) {
      logger.info('The worker answers again.', { workerId: link.workerId });
    }
    this.failedHolds = 0;
    this.lastReportAtMs = this.options.clock.nowMs();
    link.leaseClock.recordReading(report.workerClockMs);
    this.detectRestart(report);
    this.processor.apply(report, sentAtMs);
    onReport();
  }

  /**
   * A worker that has restarted under its id has lost its runs and counts ends from the start. It may have
   * another capacity and other labels, so that it gets nothing until its new entry replaces this one.
   */
  private detectRestart({ startedAtMs }: WorkerReport): void {
    const { link, logger } = this.options;
    if (startedAtMs === undefined || startedAtMs === this.reportedStartMs) {
      return;
    }
    const isFirstReport = this.reportedStartMs === undefined;
    this.reportedStartMs = startedAtMs;
    if (isFirstReport) {
      return;
    }
    logger.info('The worker has restarted.', { workerId: link.workerId });
    this.endRunsOfLostWorker('it has restarted');
    this.processor.resetEndNumbers();
    this.acknowledgedEnd = 0;
  }
}
