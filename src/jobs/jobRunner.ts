/**
 * Runs jobs: schedules the tasks of a job, waits for all of them, and assembles the answer.
 */
import { createProblem } from '../errors/problem.js';
import type { Problem, ProblemOptions } from '../errors/problem.js';
import { unreachable } from '../errors/unreachable.js';
import type { InventoryIndex } from '../inventory/inventoryIndex.js';
import type { Caller } from '../types/inventory.js';
import type { Scheduler } from '../placement/scheduler.js';
import type { Task } from '../placement/types.js';
import type { Clock } from '../ports/clock.js';
import type { RunningJob } from '../submissions/types.js';
import { createDeferred } from '../utils/deferred.js';
import type { JobAnswer, Submission, TaskOutcome, TaskState } from '../types/jobs.js';

export interface JobRunnerOptions {
  readonly clock: Clock;
  readonly scheduler: Scheduler;
}

/** A checked submission that is to be run as a job. */
export interface JobSpec {
  readonly jobId: string;
  readonly caller: Caller;
  readonly submission: Submission;
  /** Monotonic time of this process at which the job must have ended, in milliseconds. */
  readonly deadlineAtMs: number;
  /** The inventory against which the submission was checked. */
  readonly inventory: InventoryIndex;
}

/** What a new configuration no longer contains. */
export type RemovedEntity = 'caller' | 'operation';

/** Why a job ends before all its tasks are done. */
type EarlyEndCause = 'deadline' | 'cancelled' | 'failed';

export class JobRunner {
  private readonly running = new Set<JobSpec>();

  private constructor(private readonly options: JobRunnerOptions) {}

  static create(options: JobRunnerOptions): JobRunner {
    return new JobRunner(options);
  }

  /**
   * Starts a job.
   *
   * @param start - the checked submission
   * @returns the running job
   */
  start(start: JobSpec): RunningJob {
    const cancelled = createDeferred<EarlyEndCause>();
    this.running.add(start);
    const answer = this.runJob(start, cancelled.promise).finally(() => this.running.delete(start));
    return { jobId: start.jobId, answer, cancel: () => cancelled.resolve('cancelled') };
  }

  /**
   * Withdraws the waiting tasks of jobs that lost their caller or an operation; running tasks go on.
   *
   * @param findRemoved - returns what a job has lost, if anything
   */
  withdrawWaitingTasks(findRemoved: (job: JobSpec) => RemovedEntity | undefined): void {
    for (const job of this.running) {
      const removed = findRemoved(job);
      if (removed !== undefined) {
        this.options.scheduler.withdrawWaiting(job.jobId, createRemovalProblem(removed));
      }
    }
  }

  /**
   * Runs a job until all its tasks are done. If a task ends in any other way, the deadline passes or
   * the job is cancelled, the remaining tasks are withdrawn; the answer follows when every task has
   * ended.
   */
  private async runJob(job: JobSpec, cancelled: Promise<EarlyEndCause>): Promise<JobAnswer> {
    const { scheduler } = this.options;
    const failed = createDeferred<EarlyEndCause>();
    const outcomes = createTasks(job).map(async (task) => {
      const outcome = await scheduler.run(task);
      if (outcome.kind !== 'done') {
        failed.resolve('failed');
      }
      return outcome;
    });
    const timer = new AbortController();
    const allOutcomes = Promise.all(outcomes);
    const end = await Promise.race([
      allOutcomes.then(() => 'all' as const),
      failed.promise,
      cancelled,
      this.waitForDeadline(job.deadlineAtMs, timer.signal),
    ]);
    timer.abort();
    if (end !== 'all') {
      scheduler.withdraw(job.jobId);
    }
    return assembleAnswer(await allOutcomes, end === 'all' ? 'failed' : end);
  }

  private async waitForDeadline(deadlineAtMs: number, signal: AbortSignal): Promise<EarlyEndCause> {
    const { clock } = this.options;
    await clock.sleep(deadlineAtMs - clock.nowMs(), signal);
    return 'deadline';
  }
}

const createRemovalProblem = (removed: RemovedEntity): Problem => {
  const options: ProblemOptions = { runState: 'not-run' };
  switch (removed) {
    case 'caller':
      return createProblem('unauthorized', 'The caller was taken out of the inventory.', options);
    case 'operation':
      return createProblem('unknown-operation', 'An operation was taken out.', options);
    default:
      return unreachable(removed);
  }
};

const createTasks = ({ jobId, caller, submission, deadlineAtMs, inventory }: JobSpec): Task[] =>
  submission.tasks.map((spec, index) => {
    const operation = inventory.operations.get(spec.operation);
    if (operation === undefined) {
      throw new Error(`Operation ${spec.operation} was not checked before the start.`);
    }
    return {
      taskId: `${jobId}-${index}`,
      jobId,
      callerId: caller.callerId,
      teamId: caller.teamId,
      callerClass: caller.class,
      operation,
      input: spec.input,
      deadlineAtMs,
    };
  });

/**
 * Assembles the answer of a job, which is complete only if every task is done.
 *
 * @param outcomes - the outcome of each task, in the order of the submission
 * @param end - why the job ended; `failed` also where every task ended by itself
 * @returns the answer
 */
const assembleAnswer = (outcomes: readonly TaskOutcome[], end: EarlyEndCause): JobAnswer => {
  const results = outcomes.flatMap((outcome) => (outcome.kind === 'done' ? [outcome.result] : []));
  if (results.length === outcomes.length) {
    return { status: 'complete', results };
  }
  const taskStates = outcomes.map(toTaskState);
  return { status: 'failed', problem: createFailureProblem(outcomes, taskStates, end), taskStates };
};

const toTaskState = (outcome: TaskOutcome): TaskState => outcome.kind;

const createFailureProblem = (
  outcomes: readonly TaskOutcome[],
  taskStates: readonly TaskState[],
  end: EarlyEndCause,
): Problem => {
  const isNotRun = taskStates.every((state) => state === 'not-run');
  const options: ProblemOptions = isNotRun ? { runState: 'not-run' } : {};
  switch (end) {
    case 'deadline':
      return createProblem(
        'deadline-exceeded',
        'The job did not end before its deadline.',
        options,
      );
    case 'cancelled':
      return createProblem('cancelled', 'The caller cancelled the job.', options);
    case 'failed':
      return createTaskFailureProblem(outcomes, options);
    default:
      return unreachable(end);
  }
};

/** Explains a job by its first failed task, else by one with unknown outcome, else by one not run. */
const createTaskFailureProblem = (
  outcomes: readonly TaskOutcome[],
  options: ProblemOptions,
): Problem => {
  const index = outcomes.findIndex((outcome) => outcome.kind === 'failed');
  const failed = outcomes[index];
  if (failed?.kind === 'failed') {
    return createProblem('task-failed', failed.detail, { where: `tasks[${index}]` });
  }
  const unknown = outcomes.findIndex((outcome) => outcome.kind === 'outcome-unknown');
  if (unknown >= 0) {
    const where = `tasks[${unknown}]`;
    return createProblem('outcome-unknown', 'The outcome of a task is not known.', { where });
  }
  const notRun = outcomes.find((outcome) => outcome.kind === 'not-run');
  return notRun?.kind === 'not-run'
    ? { ...notRun.problem, runState: options.runState ?? 'failed' }
    : createProblem('internal', 'The job failed without a failed task.');
};
