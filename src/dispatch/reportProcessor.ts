/**
 * Applies the reports of one worker to the table of its runs: ended, running, missing and orphaned
 * runs.
 */
import type { Clock } from '../ports/clock.js';
import type { ReportedEnd, ReportedRun, WorkerReport } from '../types/workers.js';
import { recordCover } from './activeRun.js';
import type { ActiveRun } from './activeRun.js';
import { evidenceOfListedEnd, evidenceOfUnlistedRun } from './runEvidence.js';
import type { ReportContext } from './runEvidence.js';
import type { RunTable } from './runTable.js';

export interface ReportProcessorOptions {
  readonly clock: Clock;
  readonly runs: RunTable;
  /** Called with each run of the table that a report lists as running. */
  readonly onStart: (run: ActiveRun) => void;
  /** Called with each reported run that is not in the table. */
  readonly onOrphan: (orphan: ReportedRun) => void;
}

export class ReportProcessor {
  /** Number of the last end that was applied. */
  lastSeenEnd = 0;

  private constructor(private readonly options: ReportProcessorOptions) {}

  static create(options: ReportProcessorOptions): ReportProcessor {
    return new ReportProcessor(options);
  }

  /** Starts over with the end numbers of a restarted worker. */
  resetEndNumbers(): void {
    this.lastSeenEnd = 0;
  }

  /**
   * Applies a report: the ends that it lists, and what it proves of the runs that it does not list.
   *
   * @param report - the report
   * @param context - when it was requested, and of which lifetime of the worker it is
   */
  apply({ running, ends }: WorkerReport, context: ReportContext): void {
    const { runs } = this.options;
    ends.forEach((end) => this.applyEnd(end));
    const present = new Set(
      running.flatMap((reported) => this.matchRunning(reported, context) ?? []),
    );
    for (const run of runs.list()) {
      const evidence = evidenceOfUnlistedRun(run, context);
      if (!present.has(run) && evidence.kind !== 'unknown') {
        runs.finish(run, evidence);
      }
    }
  }

  private applyEnd(end: ReportedEnd): void {
    if (end.endNumber <= this.lastSeenEnd) {
      return;
    }
    this.lastSeenEnd = end.endNumber;
    const { clock, runs } = this.options;
    const run = runs.get(end.taskName);
    if (run?.run === end.run) {
      const evidence = evidenceOfListedEnd(run, end.how, clock.nowMs());
      run.startedAtMs ??= run.startSentAtMs;
      runs.finish(run, evidence);
    }
  }

  /** @returns the run of the table that a reported run is, or undefined if it is orphaned */
  private matchRunning(
    reported: ReportedRun,
    { requestedAtMs, lifetimeMs, coveredUntilMs }: ReportContext,
  ): ActiveRun | undefined {
    const { runs, onStart, onOrphan } = this.options;
    const run = runs.get(reported.taskName);
    if (run?.run !== reported.run) {
      onOrphan(reported);
      return undefined;
    }
    run.lifetimeMs = lifetimeMs ?? run.lifetimeMs;
    const wasRenewed = run.startedAtMs !== undefined && run.startedAtMs <= requestedAtMs;
    if (wasRenewed && coveredUntilMs !== undefined) {
      recordCover(run, coveredUntilMs);
    }
    run.disconnectedAtMs = undefined;
    onStart(run);
    return run;
  }
}
