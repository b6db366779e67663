/**
 * Counts the jobs of the current minute by caller class, and the causes of the bad ones.
 */
import type { Rules } from '../types/configuration.js';
import { unreachable } from '../errors/unreachable.js';
import type { CallerClass, Operation } from '../types/inventory.js';
import type { JobAnswer } from '../types/jobs.js';
import type { BadCause, ClassSum } from '../types/report.js';

/** A job that has ended. */
export interface EndedJob {
  readonly callerClass: CallerClass;
  readonly answer: JobAnswer;
  /** Time from the submission to the answer. */
  readonly responseMs: number;
  /** The declared run time of the job's longest task. */
  readonly idealMs: number;
}

interface Counts {
  total: number;
  readonly bad: Map<BadCause, number>;
}

export class MinuteCounter {
  private counts = createCounts();

  private constructor() {
    // Built by create.
  }

  static create(): MinuteCounter {
    return new MinuteCounter();
  }

  /**
   * Counts a job. It is bad if it failed and its caller did not cause that, or if its answer came later
   * than the objective of its class allows.
   *
   * @param job - the job
   * @param rules - the rules in force, which hold the service-level objectives
   */
  record(job: EndedJob, rules: Rules): void {
    const counts = this.counts[job.callerClass];
    counts.total += 1;
    const cause = findBadCause(job, rules);
    if (cause !== undefined) {
      counts.bad.set(cause, (counts.bad.get(cause) ?? 0) + 1);
    }
  }

  /** Counts a refused submission as a bad job. */
  recordRefusal(callerClass: CallerClass, cause: BadCause): void {
    const counts = this.counts[callerClass];
    counts.total += 1;
    counts.bad.set(cause, (counts.bad.get(cause) ?? 0) + 1);
  }

  /** @returns the sums of the current minute so far */
  read(): ClassSum[] {
    return (['paying', 'trial'] as const).map((callerClass) => ({
      class: callerClass,
      total: this.counts[callerClass].total,
      bad: [...this.counts[callerClass].bad].map(([cause, count]) => ({ cause, count })),
    }));
  }

  /** Returns the sums and starts again at zero. */
  readAndReset(): ClassSum[] {
    const sums = this.read();
    this.counts = createCounts();
    return sums;
  }
}

const createCounts = (): Record<CallerClass, Counts> => ({
  paying: { total: 0, bad: new Map() },
  trial: { total: 0, bad: new Map() },
});

/** Returns why a job counts as bad, or undefined if it does not use up the error budget. */
const findBadCause = (job: EndedJob, rules: Rules): BadCause | undefined => {
  const { answer } = job;
  switch (answer.status) {
    case 'failed':
      return isCausedByCaller(answer.problem.kind) ? undefined : answer.problem.kind;
    case 'complete': {
      const objective = rules.serviceLevelObjectives.find((o) => o.class === job.callerClass);
      const isLate =
        objective !== undefined && job.responseMs > job.idealMs * objective.maxResponseOverIdeal;
      return isLate ? 'late' : undefined;
    }
    default:
      return unreachable(answer);
  }
};

/**
 * Returns whether the caller caused the failure: by a faulty request, a task that fails, or a
 * cancellation. Such jobs do not use up the error budget.
 *
 * @param cause - why the job failed or was refused
 */
export const isCausedByCaller = (cause: BadCause): boolean => causesByCaller.has(cause);

const causesByCaller: ReadonlySet<BadCause> = new Set<BadCause>([
  'invalid-request',
  'too-large',
  'key-conflict',
  'unknown-operation',
  'cancelled',
  'task-failed',
]);

/**
 * Computes the ideal response time of a job: all its tasks run at once and without a wait.
 *
 * @param operations - the operations of its tasks
 * @returns the longest declared run time, in milliseconds
 */
export const computeIdealResponseMs = (operations: Iterable<Operation>): number => {
  let longestMs = 0;
  for (const { declaredRunTimeMs } of operations) {
    longestMs = Math.max(longestMs, declaredRunTimeMs);
  }
  return longestMs;
};
