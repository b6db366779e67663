/**
 * Runs that lapsed while their worker was silent, until the worker answers again: only then it shows
 * whether it has crashed under them, in another lifetime, or was cut off and goes on.
 */
import { unreachable } from '../errors/unreachable.js';
import type { Clock } from '../ports/clock.js';
import type { BatchedTask } from './openBatch.js';
import type { AnsweringLifetime } from './workerLifetime.js';

const maxRememberedRuns = 1_024;
/**
 * A task waits this long for the proof whether a worker has crashed under it; what the worker answers later
 * says nothing of the run any more.
 */
const maxProofWaitMs = 5_000;

/** A run whose leases ended while its worker was silent. */
export interface LapsedRun {
  readonly workerId: string;
  readonly taskName: string;
  readonly task: BatchedTask;
  /** Start of the worker's lifetime in which the run began, if it is known. */
  readonly lifetimeMs: number | undefined;
  /** When the worker acknowledged the start, in monotonic time; undefined if it did not. */
  readonly startedAtMs: number | undefined;
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
   * @returns the runs that have gone with an earlier lifetime
   */
  resolve(workerId: string, answering: AnsweringLifetime): LapsedRun[] {
    const resolved = this.runs.filter((run) => run.workerId === workerId);
    if (
      resolved.length === 0 ||
      (answering.kind === 'reported' && answering.startedAtMs === undefined)
    ) {
      return [];
    }
    this.runs = this.runs.filter((run) => run.workerId !== workerId);
    return resolved.filter((run) => this.isAwaited(run) && isOver(run, answering));
  }

  /** Counts the runs of a task for which the proof is still worth a wait. */
  countAwaited(taskName: string): number {
    return this.runs.filter((run) => run.taskName === taskName && this.isAwaited(run)).length;
  }

  private isAwaited({ lapsedAtMs }: RememberedRun): boolean {
    return this.clock.nowMs() - lapsedAtMs < maxProofWaitMs;
  }
}

/** Whether the lifetime in which a run began is over. */
const isOver = ({ lifetimeMs, startedAtMs }: LapsedRun, answering: AnsweringLifetime): boolean => {
  switch (answering.kind) {
    case 'reported':
      return lifetimeMs === undefined
        ? startedAtMs !== undefined && startedAtMs < answering.earliestStartMs
        : answering.startedAtMs !== lifetimeMs;
    case 'replaced':
      return true;
    default:
      return unreachable(answering);
  }
};
