/**
 * Runs that lapsed while their worker was silent, until the worker is heard of again: only then it shows
 * whether it has crashed under them, in another lifetime, or was cut off and goes on.
 */
import type { Clock } from '../ports/clock.js';
import type { BatchedTask } from './openBatch.js';

const maxRememberedRuns = 1_024;
/** A task waits this long for the proof whether a worker has crashed under it. */
const maxProofWaitMs = 5_000;

/** A run that began in a known lifetime of its worker. */
export interface LapsedRun {
  readonly workerId: string;
  readonly taskName: string;
  readonly task: BatchedTask;
  /** Start of the worker's lifetime in which the run began. */
  readonly lifetimeMs: number;
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
   * Forgets the runs of a worker that has reported.
   *
   * @param workerId - the worker
   * @param lifetimeMs - start of its lifetime, by the report
   * @returns the runs that have gone with an earlier lifetime
   */
  resolve(workerId: string, lifetimeMs: number): LapsedRun[] {
    const resolved = this.runs.filter((run) => run.workerId === workerId);
    if (resolved.length === 0) {
      return [];
    }
    this.runs = this.runs.filter((run) => run.workerId !== workerId);
    return resolved.filter((run) => run.lifetimeMs !== lifetimeMs);
  }

  /** Counts the runs of a task for which the proof is still worth a wait. */
  countAwaited(taskName: string): number {
    const sinceMs = this.clock.nowMs() - maxProofWaitMs;
    return this.runs.filter((run) => run.taskName === taskName && run.lapsedAtMs > sinceMs).length;
  }
}
