/**
 * Runs that lapsed while their worker was silent, until the worker answers again: only then it shows
 * whether its lifetime is over, and what that tells.
 */
import { judgeLifetimeEnd } from './lifetimeEnd.js';
import type { CoveredRun, LifetimeEnd } from './lifetimeEnd.js';
import type { BatchedTask } from './openBatch.js';
import type { WorkerRecord } from '../types/workers.js';
import type { AnsweringLifetime } from './workerLifetime.js';

const maxRememberedRuns = 1_024;

/** A run whose leases ended while its worker was silent. */
export interface LapsedRun extends CoveredRun {
  readonly workerId: string;
  readonly taskName: string;
  /** Identifies the loss of the worker under the task. */
  readonly lossId: string;
  /** Start of the worker's lifetime by its entry when the run lapsed, in milliseconds since the epoch, if it states it. */
  readonly listedStartMs: number | undefined;
  readonly task: BatchedTask;
}

/** A lapsed run, and what the lifetime that answers tells of it. */
export interface ResolvedRun {
  readonly run: LapsedRun;
  readonly end: LifetimeEnd;
}

export class LapsedRuns {
  /** The oldest first. */
  private runs: LapsedRun[] = [];

  static create(): LapsedRuns {
    return new LapsedRuns();
  }

  /** Remembers a run; the oldest is forgotten if there are too many. */
  remember(run: LapsedRun): void {
    this.runs = [...this.runs, run].slice(-maxRememberedRuns);
  }

  /**
   * Forgets the runs of a worker whose lifetime is known again.
   *
   * @param workerId - the worker
   * @param answering - the lifetime that answers at its address
   * @returns what it tells of the runs
   */
  resolve(workerId: string, answering: AnsweringLifetime): ResolvedRun[] {
    const resolved = this.runs.filter((run) => run.workerId === workerId);
    if (
      resolved.length === 0 ||
      (answering.kind === 'reported' && answering.startedAtMs === undefined)
    ) {
      return [];
    }
    this.runs = this.runs.filter((run) => run.workerId !== workerId);
    return resolved.map((run) => ({ run, end: judgeLifetimeEnd(run, answering) }));
  }

  /**
   * Forgets the runs that a later lifetime of their worker, as its entry lists it, shows to have been lost by a likely
   * crash. The worker may answer to another daemon by now; of what else its entry tells, its answers would tell more.
   *
   * @param records - the entries of all workers
   * @returns what the entries tell of the runs
   */
  resolveListed(records: readonly WorkerRecord[]): ResolvedRun[] {
    if (this.runs.length === 0) {
      return [];
    }
    const starts = new Map(records.map(({ workerId, startedAtMs }) => [workerId, startedAtMs]));
    const resolved = this.runs
      .filter((run) => isLaterStart(starts.get(run.workerId), run.listedStartMs))
      .map((run) => ({ run, end: judgeLifetimeEnd(run, { kind: 'replaced' }) }))
      .filter(({ end }) => end.kind === 'likely-under-run');
    const forgotten = new Set(resolved.map(({ run }) => run));
    this.runs = this.runs.filter((run) => !forgotten.has(run));
    return resolved;
  }
}

const isLaterStart = (startMs: number | undefined, earlierMs: number | undefined): boolean =>
  startMs !== undefined && earlierMs !== undefined && startMs > earlierMs;
