/**
 * The rules of the users, judged by what the workers ran and what the clients were told.
 */
import { unreachable } from '../../errors/unreachable.js';
import type { ModelAttempt, ModelCancellation } from './modelClients.js';
import { findBudgetViolations, findLimitViolations } from './judgeStarts.js';
import type { Violation } from './violations.js';
import { describeRun, jobIdOf } from './modelRun.js';
import type { ModelRun } from './modelRun.js';

/** Time in which the runs of a cancelled job have to end, in milliseconds. */
const cancellationMs = 1_500;
/** Time in which a cancellation has to be confirmed once nothing is wrong any more, in milliseconds. */
const confirmationMs = 4_000;

/** What the model recorded. */
export interface ModelRecord {
  readonly runs: readonly ModelRun[];
  readonly attempts: readonly ModelAttempt[];
  readonly cancellations: readonly ModelCancellation[];
  readonly rejections: readonly string[];
  /** Number of tasks of each job. */
  readonly taskCounts: ReadonlyMap<string, number>;
  readonly maxFailedRuns: number;
  /** When the fleet began to serve its workers, and the scenario began. */
  readonly beginMs: number;
  /** When the last fault has ended. */
  readonly calmSinceMs: number;
}

export const judge = (record: ModelRecord): Violation[] => [
  ...findOverlaps(record.runs),
  ...findBudgetViolations(record.runs),
  ...findLimitViolations(record.runs),
  ...record.attempts.flatMap((attempt) => judgeAnswer(record, attempt)),
  ...record.cancellations.flatMap((one) => judgeCancellation(record, one)),
  ...record.rejections.map((detail): Violation => ({ rule: 'unhandled-rejection', detail })),
];

const findOverlaps = (runs: readonly ModelRun[]): Violation[] =>
  runs.flatMap((later, index) =>
    runs.slice(0, index).flatMap((earlier): Violation[] => {
      const overlapMs = endOf(earlier, later) - later.startedAtMs;
      const isTwice = earlier.taskName === later.taskName && overlapMs > 0;
      const detail = `${describeRun(earlier)}; ${describeRun(later)}`;
      return isTwice ? [{ rule: 'twice', detail, overlapMs }] : [];
    }),
  );

/** @returns when the earlier of two runs ended, at most the end of the later one */
const endOf = (earlier: ModelRun, later: ModelRun): number =>
  Math.min(earlier.endedAtMs ?? Infinity, later.endedAtMs ?? Infinity);

const judgeAnswer = (record: ModelRecord, attempt: ModelAttempt): Violation[] => {
  const { answer, attemptId } = attempt;
  switch (answer?.kind) {
    case undefined:
    case 'none':
    case 'unread':
    case 'given-up':
    case 'cancelled':
      return [];
    case 'completed':
      return findUndone(record, attempt);
    case 'refused':
      return record.runs
        .filter(({ spec }) => spec.attempt === attemptId)
        .slice(0, 1)
        .map((run) => ({ rule: 'refused-though-started', detail: describeRun(run) }));
    case 'failed':
      return hasCauseToFail(record, attempt)
        ? []
        : [{ rule: 'failed-without-cause', detail: `${attemptId}: ${answer.reason}` }];
    default:
      return unreachable(answer);
  }
};

/**
 * Finds the tasks of a completed job that were not done. All of them have to be done by attempts at one daemon: that which
 * has answered, or one for whose job it has waited.
 */
const findUndone = (
  { runs, attempts, taskCounts }: ModelRecord,
  { jobId, sentAtMs, answeredAtMs = Infinity }: ModelAttempt,
): Violation[] => {
  const earlier = attempts.filter((one) => one.jobId === jobId && one.sentAtMs <= sentAtMs);
  const doneCounts = [...new Set(earlier.map(({ address }) => address))].map((address) => {
    const joined = new Set(
      earlier.filter((one) => one.address === address).map(({ attemptId }) => attemptId),
    );
    const done = runs
      .filter(({ how, endedAtMs }) => how === 'done' && (endedAtMs ?? Infinity) <= answeredAtMs)
      .filter(({ spec, taskName }) => joined.has(spec.attempt) && jobIdOf(taskName) === jobId);
    return new Set(done.map(({ taskName }) => taskName)).size;
  });
  const missing = (taskCounts.get(jobId) ?? 0) - Math.max(0, ...doneCounts);
  const detail = `${jobId}: ${missing} tasks are not done`;
  return missing > 0 ? [{ rule: 'completed-without-end', detail }] : [];
};

/** Whether a task of the job has failed as often as allowed. Crashes are no cause: nothing proves them to a caller. */
const hasCauseToFail = (
  { runs, maxFailedRuns }: ModelRecord,
  { jobId, answeredAtMs = Infinity }: ModelAttempt,
): boolean => {
  const ended = runs.filter(
    ({ taskName, endedAtMs }) =>
      jobIdOf(taskName) === jobId && (endedAtMs ?? Infinity) <= answeredAtMs,
  );
  return ended.some(({ taskName }) => {
    const failedRuns = ended.filter((run) => run.taskName === taskName && run.how === 'failed');
    return failedRuns.length >= maxFailedRuns;
  });
};

/**
 * A cancellation is confirmed in time. After that, the runs of the job end, and none starts but for an attempt
 * that the client sent later.
 */
const judgeCancellation = (
  { runs, attempts, calmSinceMs }: ModelRecord,
  { jobId, sentAtMs, address, outcome, answeredAtMs = Infinity }: ModelCancellation,
): Violation[] => {
  if (answeredAtMs > Math.max(sentAtMs, calmSinceMs) + confirmationMs) {
    const detail = `${jobId} at ${address}: ${outcome}`;
    return [{ rule: 'cancellation-unconfirmed', detail }];
  }
  const earlier = new Set(
    attempts
      .filter((attempt) => attempt.jobId === jobId && attempt.sentAtMs <= answeredAtMs)
      .map(({ attemptId }) => attemptId),
  );
  const lateMs = answeredAtMs + cancellationMs;
  return runs
    .filter(({ spec, endedAtMs }) => earlier.has(spec.attempt) && (endedAtMs ?? Infinity) > lateMs)
    .slice(0, 1)
    .map((run) => ({
      rule: 'cancelled-though-running',
      detail: `${address} answered ${outcome}; ${describeRun(run)}`,
    }));
};
