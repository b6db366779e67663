/**
 * Applies the reports of one worker to the table of its runs: ended, running, missing and orphaned
 * runs.
 */
import { unreachable } from '../errors/unreachable.js';
import type { Clock } from '../ports/clock.js';
import type { ReportedEnd, ReportedRun, WorkerReport } from '../types/workers.js';
import type { ActiveRun, RunOutcome } from './activeRun.js';
import type { RunTable } from './runTable.js';

/**
 * Time from the acknowledgement of a stop until the run has certainly ended. It uses its capacity until then,
 * though reports may no longer list it.
 */
export const maxStopMs = 60;

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
   * Applies a report. A run that it does not list is lost if the report is recent enough for it.
   *
   * @param report - the report
   * @param sentAtMs - when the report was requested, in monotonic time
   */
  apply({ running, ends }: WorkerReport, sentAtMs: number): void {
    ends.forEach((end) => this.applyEnd(end));
    const present = new Set(running.flatMap((reported) => this.matchRunning(reported) ?? []));
    for (const run of this.options.runs.list()) {
      if (!present.has(run) && hasCertainlyEnded(run, sentAtMs)) {
        const reason = 'the worker has it no more';
        this.options.runs.finish(run, { kind: 'lost', reason });
      }
    }
  }

  private applyEnd(end: ReportedEnd): void {
    if (end.endNumber <= this.lastSeenEnd) {
      return;
    }
    this.lastSeenEnd = end.endNumber;
    const run = this.options.runs.get(end.taskName);
    if (run?.run === end.run) {
      this.options.runs.finish(run, this.outcomeOf(run, end));
    }
  }

  private outcomeOf(run: ActiveRun, { how }: ReportedEnd): RunOutcome {
    switch (how) {
      case 'done': {
        const startedAtMs = run.startedAtMs ?? run.startSentAtMs;
        return { kind: 'done', runTimeMs: this.options.clock.nowMs() - startedAtMs };
      }
      case 'failed':
        return { kind: 'failed' };
      case 'stopped':
      case 'lapsed':
      case 'broken':
      case 'alone':
        return { kind: 'lost', reason: how };
      default:
        return unreachable(how);
    }
  }

  /** @returns the run of the table that a reported run is, or undefined if it is orphaned */
  private matchRunning(reported: ReportedRun): ActiveRun | undefined {
    const { runs, onStart, onOrphan } = this.options;
    const run = runs.get(reported.taskName);
    if (run?.run !== reported.run) {
      onOrphan(reported);
      return undefined;
    }
    onStart(run);
    return run;
  }
}

/** Returns whether a run that a report does not list has certainly ended. */
const hasCertainlyEnded = (run: ActiveRun, sentAtMs: number): boolean => {
  switch (run.phase) {
    // The start order may reach the worker after the report was written.
    case 'starting':
      return false;
    case 'running':
      return run.startedAtMs !== undefined && run.startedAtMs < sentAtMs;
    case 'stopping':
      return (
        run.stopAcknowledgedAtMs !== undefined && run.stopAcknowledgedAtMs + maxStopMs <= sentAtMs
      );
    default:
      return unreachable(run.phase);
  }
};
