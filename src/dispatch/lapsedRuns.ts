/**
 * Runs that lapsed while their worker was silent, until the worker answers again: only then it shows
 * whether its lifetime is over, and what that tells.
 */
import type { Clock } from '../ports/clock.js';
import { judgeLifetimeEnd } from './lifetimeEnd.js';
import type { CoveredRun, LifetimeEnd } from './lifetimeEnd.js';
import type { BatchedTask } from './openBatch.js';
import type { AnsweringLifetime } from './workerLifetime.js';

const maxRememberedRuns = 1_024;
/** A task waits this long until its worker answers. */
const maxProofWaitMs = 5_000;

/** A run whose leases ended while its worker was silent. */
export interface LapsedRun extends CoveredRun {
  readonly workerId: string;
  readonly taskName: string;
  readonly task: BatchedTask;
}

/** A lapsed run, and what the lifetime that answers tells of it. */
export interface ResolvedRun {
  readonly run: LapsedRun;
  readonly end: LifetimeEnd;
}

interface RememberedRun extends LapsedRun {
  /** In monotonic time. */
  readonly lapsedAtMs: number;
}

export class LapsedRuns {
  /** The oldest first. */
  private runs: RememberedRun[] = [];

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): LapsedRuns {
    return new LapsedRuns(clock);
  }

  /** Remembers a run; the oldest is forgotten if there are too many. */
  remember(run: LapsedRun): void {
    const lapsedAtMs = this.clock.nowMs();
    this.runs = [...this.runs, { ...run, lapsedAtMs }].slice(-maxRememberedRuns);
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

  /** Counts the runs of a task for which the answer of the worker is still worth a wait. */
  countAwaited(taskName: string): number {
    return this.runs.filter((run) => run.taskName === taskName && this.isAwaited(run)).length;
  }

  private isAwaited({ lapsedAtMs }: RememberedRun): boolean {
    return this.clock.nowMs() - lapsedAtMs < maxProofWaitMs;
  }
}
