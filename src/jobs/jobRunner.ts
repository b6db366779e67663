/**
 * Runs one job: starts its tasks, waits for all of them, and assembles the whole answer.
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

/** What a job needs to start. */
export interface JobStart {
  readonly jobId: string;
  readonly caller: Caller;
  readonly submission: Submission;
  /** Monotonic time of this process, in milliseconds. */
  readonly deadlineAtMs: number;
  readonly inventory: InventoryIndex;
}

/** What a configuration has no longer. */
export type RemovedPart = 'caller' | 'operation';

/** Why a job ends before all its tasks have. */
type EarlyEnd = 'deadline' | 'cancelled' | 'failed';

export class JobRunner {
  private readonly running = new Set<JobStart>();

  private constructor(private readonly options: JobRunnerOptions) {}

  static create(options: JobRunnerOptions): JobRunner {
    return new JobRunner(options);
  }

  /**
   * Starts a job.
   *
   * @param start - the checked submission and who sent it
   * @returns the running job
   */
  start(start: JobStart): RunningJob {
    const cancelled = createDeferred<EarlyEnd>();
    this.running.add(start);
    const answer = this.runJob(start, cancelled.promise).finally(() => this.running.delete(start));
    return { jobId: start.jobId, answer, cancel: () => cancelled.resolve('cancelled') };
  }

  /**
   * Takes the waiting tasks of jobs out of the queue; what runs goes on.
   *
   * @param findRemoved - tells what a job misses, if anything
   */
  removeWaiting(findRemoved: (job: JobStart) => RemovedPart | undefined): void {
    for (const job of this.running) {
      const removed = findRemoved(job);
      if (removed !== undefined) {
        this.options.scheduler.withdrawWaiting(job.jobId, explainRemoval(removed));
      }
    }
  }

  private async runJob(start: JobStart, cancelled: Promise<EarlyEnd>): Promise<JobAnswer> {
    const { scheduler } = this.options;
    const failed = createDeferred<EarlyEnd>();
    const running = createTasks(start).map(async (task) => {
      const outcome = await scheduler.run(task);
      if (outcome.kind !== 'done') {
        failed.resolve('failed');
      }
      return outcome;
    });
    const timer = new AbortController();
    const all = Promise.all(running);
    const end = await Promise.race([
      all.then(() => 'all' as const),
      failed.promise,
      cancelled,
      this.deadline(start.deadlineAtMs, timer.signal),
    ]);
    timer.abort();
    if (end !== 'all') {
      scheduler.withdraw(start.jobId);
    }
    return assembleAnswer(await all, end === 'all' ? 'failed' : end);
  }

  private async deadline(deadlineAtMs: number, signal: AbortSignal): Promise<EarlyEnd> {
    const { clock } = this.options;
    await clock.sleep(deadlineAtMs - clock.nowMs(), signal);
    return 'deadline';
  }
}

const explainRemoval = (removed: RemovedPart): Problem => {
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

const createTasks = ({ jobId, caller, submission, deadlineAtMs, inventory }: JobStart): Task[] =>
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
 * Assembles the answer of a job: complete only if every task is done.
 *
 * @param outcomes - the outcome of each task
 * @param end - why the job ended, if not by its tasks
 * @returns the answer
 */
const assembleAnswer = (outcomes: readonly TaskOutcome[], end: EarlyEnd): JobAnswer => {
  const results = outcomes.flatMap((outcome) => (outcome.kind === 'done' ? [outcome.result] : []));
  if (results.length === outcomes.length) {
    return { status: 'complete', results };
  }
  const taskStates = outcomes.map(toTaskState);
  return { status: 'failed', problem: explainFailure(outcomes, taskStates, end), taskStates };
};

const toTaskState = (outcome: TaskOutcome): TaskState => outcome.kind;

const explainFailure = (
  outcomes: readonly TaskOutcome[],
  taskStates: readonly TaskState[],
  end: EarlyEnd,
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
      return explainTaskFailure(outcomes, options);
    default:
      return unreachable(end);
  }
};

const explainTaskFailure = (outcomes: readonly TaskOutcome[], options: ProblemOptions): Problem => {
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
  const refused = outcomes.find((outcome) => outcome.kind === 'not-run');
  return refused?.kind === 'not-run'
    ? { ...refused.problem, runState: options.runState ?? 'failed' }
    : createProblem('internal', 'The job failed without a failed task.');
};
