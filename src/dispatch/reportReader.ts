/**
 * Takes what a worker reports: ends of runs, runs that go on, runs that nobody asks for.
 */
import { unreachable } from '../errors/unreachable.js';
import type { Clock } from '../ports/clock.js';
import type { ReportedEnd, ReportedRun, WorkerReport } from '../types/workers.js';
import type { ActiveRun, RunOutcome } from './activeRun.js';
import type { RunTable } from './runTable.js';

export interface ReportReaderOptions {
  readonly clock: Clock;
  readonly runs: RunTable;
  /** Called with a run that the worker has begun. */
  readonly onBegun: (run: ActiveRun) => void;
  /** Called with a run that nobody asks for. */
  readonly onStray: (stray: ReportedRun) => void;
}

export class ReportReader {
  /** Number of the last end that was taken. */
  lastSeenEnd = 0;

  private constructor(private readonly options: ReportReaderOptions) {}

  static create(options: ReportReaderOptions): ReportReader {
    return new ReportReader(options);
  }

  /** Begins with the ends of another life of the worker. */
  restart(): void {
    this.lastSeenEnd = 0;
  }

  /**
   * Takes a report.
   *
   * @param report - the report
   * @param sentAtMs - when it was asked for, in monotonic time
   */
  read({ running, ends }: WorkerReport, sentAtMs: number): void {
    ends.forEach((end) => this.takeEnd(end));
    const present = new Set(running.flatMap((reported) => this.takeRunning(reported) ?? []));
    for (const run of this.options.runs.list()) {
      if (!present.has(run) && isMissing(run, sentAtMs)) {
        const reason = 'the worker has it no more';
        this.options.runs.finish(run, { kind: 'lost', reason });
      }
    }
  }

  private takeEnd(end: ReportedEnd): void {
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
        const beganAtMs = run.startedAtMs ?? run.orderedAtMs;
        return { kind: 'done', runTimeMs: this.options.clock.nowMs() - beganAtMs };
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

  /** @returns the run that the worker has, if it was asked for */
  private takeRunning(reported: ReportedRun): ActiveRun | undefined {
    const { runs, onBegun, onStray } = this.options;
    const run = runs.get(reported.taskName);
    if (run?.run !== reported.run) {
      onStray(reported);
      return undefined;
    }
    onBegun(run);
    return run;
  }
}

/** Tells whether a run that a report does not show is certainly gone. */
const isMissing = (run: ActiveRun, sentAtMs: number): boolean => {
  switch (run.phase) {
    case 'starting':
      return false;
    case 'running':
      return run.startedAtMs !== undefined && run.startedAtMs < sentAtMs;
    case 'stopping':
      return run.stopAcknowledgedAtMs !== undefined && run.stopAcknowledgedAtMs < sentAtMs;
    default:
      return unreachable(run.phase);
  }
};
