/**
 * Counts the jobs of the present minute by class, and why they were bad.
 */
import type { Rules } from '../types/configuration.js';
import { unreachable } from '../errors/unreachable.js';
import type { CallerClass, Operation } from '../types/inventory.js';
import type { JobAnswer } from '../types/jobs.js';
import type { BadCause, ClassSum } from '../types/report.js';

/** A job that ended. */
export interface EndedJob {
  readonly callerClass: CallerClass;
  readonly answer: JobAnswer;
  readonly responseMs: number;
  /** Declared run time of the job's longest task, in milliseconds. */
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
   * Counts a job.
   *
   * @param job - the job
   * @param rules - the rules in force, with the objectives
   */
  record(job: EndedJob, rules: Rules): void {
    const counts = this.counts[job.callerClass];
    counts.total += 1;
    const cause = findCause(job, rules);
    if (cause !== undefined) {
      counts.bad.set(cause, (counts.bad.get(cause) ?? 0) + 1);
    }
  }

  /** Counts a job that was refused. */
  recordRefusal(callerClass: CallerClass, cause: BadCause): void {
    const counts = this.counts[callerClass];
    counts.total += 1;
    counts.bad.set(cause, (counts.bad.get(cause) ?? 0) + 1);
  }

  /** @returns the sums so far */
  read(): ClassSum[] {
    return (['paying', 'trial'] as const).map((callerClass) => ({
      class: callerClass,
      total: this.counts[callerClass].total,
      bad: [...this.counts[callerClass].bad].map(([cause, count]) => ({ cause, count })),
    }));
  }

  /** @returns the sums so far, which start again at zero */
  take(): ClassSum[] {
    const sums = this.read();
    this.counts = createCounts();
    return sums;
  }
}

const createCounts = (): Record<CallerClass, Counts> => ({
  paying: { total: 0, bad: new Map() },
  trial: { total: 0, bad: new Map() },
});

/** Faults of the caller's own request, or its own wish, do not burn the budget. */
const findCause = (job: EndedJob, rules: Rules): BadCause | undefined => {
  const { answer } = job;
  switch (answer.status) {
    case 'failed':
      return isCallersOwn(answer.problem.kind) ? undefined : answer.problem.kind;
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
 * Tells whether a job that ended so says nothing about the service.
 *
 * @param cause - how it ended
 */
export const isCallersOwn = (cause: BadCause): boolean => callersOwnCauses.has(cause);

const callersOwnCauses: ReadonlySet<BadCause> = new Set<BadCause>([
  'invalid-request',
  'too-large',
  'key-conflict',
  'unknown-operation',
  'cancelled',
  'task-failed',
]);

/**
 * Computes the ideal response time of a job.
 *
 * @param operations - the operations of its tasks
 * @returns the longest declared run time, in milliseconds
 */
export const idealResponseMs = (operations: Iterable<Operation>): number => {
  let longestMs = 0;
  for (const { declaredRunTimeMs } of operations) {
    longestMs = Math.max(longestMs, declaredRunTimeMs);
  }
  return longestMs;
};
