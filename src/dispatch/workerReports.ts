/**
 * The reports of one worker: asked for with holds, which may also renew its leases, and read into the
 * table of its runs.
 */
import { unreachable } from '../errors/unreachable.js';
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { OrderFailure } from '../ports/workers.js';
import type { WorkerReport } from '../types/workers.js';
import type { WakeableSleep } from '../utils/wakeableSleep.js';
import type { ActiveRun } from './activeRun.js';
import { ReportReader } from './reportReader.js';
import type { RunTable } from './runTable.js';
import { StrayRuns } from './strayRuns.js';
import type { WorkerLink } from './workerLink.js';

/** Longest wait for an end in one hold; well under the shortest lease. */
const maxHoldWaitMs = 300;
/** Unanswered holds after which leases are no longer renewed. */
const maxMisses = 2;
const missPauseMs = 150;
const maxMissPauseMs = 1_000;

export interface WorkerReportsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly link: WorkerLink;
  readonly runs: RunTable;
  /** Waits between holds that got no answer. */
  readonly pauses: WakeableSleep;
  /** Called with a run that the worker has begun. */
  readonly onBegun: (run: ActiveRun) => void;
  /** Called after each report. */
  readonly onReport: () => void;
}

export class WorkerReports {
  private readonly reader: ReportReader;
  private acknowledgedEnd = 0;
  private misses = 0;
  private isClosed = false;

  private constructor(private readonly options: WorkerReportsOptions) {
    const { clock, link, runs, onBegun } = options;
    const strays = StrayRuns.create(({ taskName, run }) => link.stop(taskName, run));
    const onStray = strays.stop.bind(strays);
    this.reader = ReportReader.create({ clock, runs, onBegun, onStray });
  }

  static create(options: WorkerReportsOptions): WorkerReports {
    return new WorkerReports(options);
  }

  /** Tells whether the last hold was answered. */
  get isAnswering(): boolean {
    return this.misses === 0;
  }

  /** Tells whether the worker knows of every end that was taken. */
  get isAcknowledged(): boolean {
    return this.acknowledgedEnd === this.reader.lastSeenEnd;
  }

  /** Renews the leases of what runs there, and waits for the next end. */
  async hold(): Promise<void> {
    const isQuiet = this.misses > 0 || this.options.runs.size === 0;
    await this.read(isQuiet ? 0 : maxHoldWaitMs, this.misses < maxMisses);
  }

  /**
   * Reads a report without renewing leases.
   *
   * @returns the report, or nothing if there was no answer
   */
  readOnly(): Promise<WorkerReport | undefined> {
    return this.read(0, false);
  }

  /** Reads the worker's report beside the hold that waits. */
  async look(): Promise<void> {
    const { clock, link } = this.options;
    if (link.isFenced || this.isClosed) {
      return;
    }
    const { lastSeenEnd } = this.reader;
    const sentAtMs = clock.nowMs();
    const reply = await link.hold({ lastSeenEnd, waitMs: 0, renewsLeases: false });
    if (reply.kind === 'held') {
      this.apply(reply.report, sentAtMs);
    }
  }

  /** Takes no more reports. */
  close(): void {
    this.isClosed = true;
  }

  private async read(waitMs: number, renewsLeases: boolean): Promise<WorkerReport | undefined> {
    const { clock, link } = this.options;
    const { lastSeenEnd } = this.reader;
    const sentAtMs = clock.nowMs();
    const reply = await link.hold({ lastSeenEnd, waitMs, renewsLeases });
    if (reply.kind !== 'held') {
      await this.takeFailure(reply);
      return undefined;
    }
    this.acknowledgedEnd = lastSeenEnd;
    this.apply(reply.report, sentAtMs);
    return reply.report;
  }

  private async takeFailure(failure: OrderFailure): Promise<void> {
    switch (failure.kind) {
      case 'stale-token':
        return;
      case 'replaced':
        this.options.runs.loseAll('another life of the worker answers');
        await this.pauseAfterMiss(failure.kind);
        return;
      case 'unhealthy':
      case 'unreachable':
      case 'no-answer':
        await this.pauseAfterMiss(failure.kind);
        return;
      default:
        return unreachable(failure);
    }
  }

  private async pauseAfterMiss(reason: string): Promise<void> {
    const { link, logger, pauses, runs } = this.options;
    this.misses += 1;
    if (this.misses < maxMisses) {
      return;
    }
    if (this.misses === maxMisses) {
      logger.warn('The worker does not answer.', { workerId: link.workerId, reason });
    }
    if (link.leases.hasAllEnded()) {
      runs.loseAll('the worker does not answer');
    }
    await pauses.sleep(Math.min(missPauseMs * (this.misses - 1), maxMissPauseMs));
  }

  private apply(report: WorkerReport, sentAtMs: number): void {
    const { link, logger, onReport } = this.options;
    if (this.isClosed) {
      return;
    }
    if (this.misses >= maxMisses) {
      logger.info('The worker answers again.', { workerId: link.workerId });
    }
    this.misses = 0;
    link.leases.read(report.workerClockMs);
    this.noteLife(report);
    this.reader.read(report, sentAtMs);
    onReport();
  }

  /** A worker that was born anew under its id holds and knows nothing of before. */
  private noteLife({ bornAtMs }: WorkerReport): void {
    const { link, logger, runs } = this.options;
    const { record } = link;
    if (bornAtMs === undefined || bornAtMs === record.bornAtMs) {
      return;
    }
    logger.info('The worker was born anew.', { workerId: link.workerId });
    runs.loseAll('the worker was born anew');
    this.reader.restart();
    this.acknowledgedEnd = 0;
    link.record = { ...record, bornAtMs };
  }
}
