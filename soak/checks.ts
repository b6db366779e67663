/**
 * Checks the guarantees of the daemons against the requests that the callers sent and the task runs
 * that the workers started.
 */
import { maxTaskAttempts } from '../standins/platform/routes.js';
import { findOverlaps } from '../standins/platform/standInRun.js';
import type { RunOverlap, StartRecord } from '../standins/platform/standInRun.js';
import type { SoakFleet } from './soakFleet.js';
import type { Attempt, SoakJob } from './soakJob.js';

const okStatus = 200;
const refusedStatus = 503;
/** After so many crashed workers, a task may be started so often at most: the users' rule. */
const maxCrashes = 3;
const maxStartsAfterCrashes = 2;
/** What the checks read of a fleet. */
export type ObservedFleet = Pick<SoakFleet, 'starts' | 'disruptions' | 'crashes'>;

/**
 * Lists the violated guarantees: no task runs twice at the same time, `completed` means that every task
 * was done, `failed` has a cause, a job refused with 503 was never started, a daemon that no fault disrupts
 * answers in time, no daemon crashes, and a task that crashes its workers is not started again and again.
 *
 * @param fleet - the fleet, with the runs that its workers started
 * @param attempts - every request of the callers
 * @returns one sentence for each violation
 */
export const findViolations = (fleet: ObservedFleet, attempts: readonly Attempt[]): string[] => {
  const starts = fleet.starts();
  return [
    ...findOverlaps(starts).map(describeOverlap),
    ...findCrashingTasks(starts).map((task) => `${task} went on crashing workers.`),
    ...attempts.flatMap((attempt) => checkAttempt(attempt, attempts, starts, fleet)),
    ...fleet.crashes,
  ];
};

const describeOverlap = ({ first, second, durationMs }: RunOverlap): string =>
  `Two runs of ${first.task} at the same time for ${durationMs.toFixed(1)} ms: ` +
  `${describeRun(first)}, and ${describeRun(second)}.`;

const describeRun = (start: StartRecord): string =>
  `run ${start.run} on ${start.workerId} from ${start.startedAtMs.toFixed(1)} to ` +
  `${start.endedAtMs?.toFixed(1) ?? '-'} (${start.outcome ?? 'at work'})`;

/** @returns tasks that were started as often as is not allowed after they had crashed some workers */
const findCrashingTasks = (starts: readonly StartRecord[]): string[] => {
  const crashed = starts.filter(({ outcome }) => outcome === 'crashed').map(({ task }) => task);
  return [...new Set(crashed)].filter((task) => {
    const crashes = starts
      .filter((start) => start.task === task && start.outcome === 'crashed')
      .map(({ endedAtMs = Infinity }) => endedAtMs)
      .sort((a, b) => a - b);
    const lastAllowedAtMs = crashes[maxCrashes - 1] ?? Infinity;
    const later = starts.filter(
      (start) => start.task === task && start.startedAtMs > lastAllowedAtMs,
    );
    return later.length > maxStartsAfterCrashes;
  });
};

/** Checks the end of one request. Missing answers count only where no fault disrupted the daemon. */
const checkAttempt = (
  attempt: Attempt,
  attempts: readonly Attempt[],
  starts: readonly StartRecord[],
  { disruptions }: ObservedFleet,
): string[] => {
  const { job, daemon, sentAtMs, endedAtMs, end } = attempt;
  const location = `job ${job.jobId} at daemon ${daemon}`;
  const isUndisrupted = disruptions.wasUndisrupted(daemon, sentAtMs, endedAtMs);
  switch (end.kind) {
    case 'unanswered':
      return isUndisrupted ? [`No answer: ${location}.`] : [];
    case 'left':
      return [];
    case 'broken':
      return isUndisrupted ? [`Connection broken (${end.code}): ${location}.`] : [];
    case 'answered': {
      const isFalseCompletion = end.state === 'completed' && !areAllTasksDone(job, starts);
      // A resent job may be refused although its first attempt started it.
      const isOnlyAttempt = attempts.filter((other) => other.job === job).length === 1;
      const isFalseRefusal =
        end.status === refusedStatus && isOnlyAttempt && hasStartedTask(job, starts);
      return [
        ...(isFalseCompletion ? [`Completed, though a task was not done: ${location}.`] : []),
        ...(end.state === 'failed' && !hasCauseToFail(job, starts)
          ? [`Failed, though no task failed so often: ${location}.`]
          : []),
        ...(isFalseRefusal ? [`Refused, though it ran: ${location}.`] : []),
      ];
    }
  }
};

const areAllTasksDone = ({ jobId, tasks }: SoakJob, starts: readonly StartRecord[]): boolean => {
  const doneTasks = new Set(
    starts.flatMap(({ task, outcome }) => (outcome === 'done' ? [task] : [])),
  );
  return Array.from({ length: tasks }, (_, index) => `${jobId}.0.0.${index}`).every((task) =>
    doneTasks.has(task),
  );
};

/** @returns whether a task of the job failed as often as its route allows; crashes are no cause */
const hasCauseToFail = ({ jobId }: SoakJob, starts: readonly StartRecord[]): boolean => {
  const runs = starts.filter(({ task }) => task.startsWith(`${jobId}.`));
  const countFailed = (task: string): number =>
    runs.filter((run) => run.task === task && run.outcome === 'failed').length;
  return runs.some(({ task }) => countFailed(task) >= maxTaskAttempts);
};

const hasStartedTask = ({ jobId }: SoakJob, starts: readonly StartRecord[]): boolean =>
  starts.some(({ task }) => task.startsWith(`${jobId}.`));

/** @returns whether the request was answered with status 200 and the job state `completed` */
export const isCompleted = ({ end }: Attempt): boolean =>
  end.kind === 'answered' && end.status === okStatus && end.state === 'completed';
