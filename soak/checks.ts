/**
 * What must hold, from what callers and workers saw.
 */
import { findDoubled } from '../standins/platform/standInRun.js';
import type { StartRecord } from '../standins/platform/standInRun.js';
import type { SoakFleet } from './soakFleet.js';
import type { Attempt, SoakJob } from './soakCallers.js';

const okStatus = 200;
const refusedStatus = 503;

/**
 * Lists the promises that were broken.
 *
 * @param fleet - with the starts that its workers carried out
 * @param attempts - every request of the callers
 */
export const findBroken = (fleet: SoakFleet, attempts: readonly Attempt[]): string[] => {
  const starts = fleet.starts();
  return [
    ...findDoubled(starts).map((task) => `Two runs of ${task} at the same time.`),
    ...attempts.flatMap((attempt) => checkAttempt(attempt, attempts, starts, fleet)),
    ...fleet.crashes,
  ];
};

const checkAttempt = (
  attempt: Attempt,
  attempts: readonly Attempt[],
  starts: readonly StartRecord[],
  { troubles }: SoakFleet,
): string[] => {
  const { job, daemon, sentAtMs, endedAtMs, end } = attempt;
  const where = `job ${job.jobId} at daemon ${daemon}`;
  const isCalm = troubles.wasCalm(daemon, sentAtMs, endedAtMs);
  switch (end.kind) {
    case 'unanswered':
      return isCalm ? [`No answer: ${where}.`] : [];
    case 'broken':
      return isCalm ? [`Connection broken (${end.code}): ${where}.`] : [];
    case 'answered': {
      const isFalseEnd = end.state === 'completed' && !isDone(job, starts);
      const isOnly = attempts.filter((one) => one.job === job).length === 1;
      const isFalseRefusal = end.status === refusedStatus && isOnly && hasStart(job, starts);
      return [
        ...(isFalseEnd ? [`Completed, though a task was not done: ${where}.`] : []),
        ...(isFalseRefusal ? [`Refused, though it ran: ${where}.`] : []),
      ];
    }
  }
};

const isDone = ({ jobId, tasks }: SoakJob, starts: readonly StartRecord[]): boolean => {
  const done = new Set(starts.flatMap(({ task, how }) => (how === 'done' ? [task] : [])));
  return Array.from({ length: tasks }, (_, index) => `${jobId}.0.0.${index}`).every((task) =>
    done.has(task),
  );
};

const hasStart = ({ jobId }: SoakJob, starts: readonly StartRecord[]): boolean =>
  starts.some(({ task }) => task.startsWith(`${jobId}.`));

/** Tells whether a request was answered with success. */
export const isCompleted = ({ end }: Attempt): boolean =>
  end.kind === 'answered' && end.status === okStatus && end.state === 'completed';
