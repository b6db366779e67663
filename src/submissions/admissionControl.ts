/**
 * Admission control: accepts a new submission only if it is valid, an endpoint can run each of its
 * tasks, the daemon is not overloaded, and the job is expected to start and end in time.
 */
import type { ActiveConfiguration } from '../configuration/configurationStore.js';
import { createProblem } from '../errors/problem.js';
import type { Problem } from '../errors/problem.js';
import type { Caller, Operation } from '../types/inventory.js';
import type { Submission, TaskSpec } from '../types/jobs.js';
import { estimatePayingWaitMs, estimateTimes } from '../limits/expectedWait.js';
import type { ExpectedTimes } from '../limits/expectedWait.js';
import { HeldInputs, inputSizeBytes } from '../limits/heldInputs.js';
import { checkOverload, detectOverload } from '../limits/overload.js';
import type { QuotaLimit } from '../limits/quotaLimiter.js';
import { checkQuota } from '../limits/checkQuota.js';
import type { ProcessLoad } from '../ports/processLoad.js';
import type { TaskQueue } from '../queue/taskQueue.js';

export interface AdmissionControlOptions {
  readonly queue: TaskQueue;
  readonly processLoad: ProcessLoad;
  /** Returns the free slots of peers to which tasks may be offloaded. */
  readonly freePeerSlots: () => number;
  /** Returns the most that a team may use here, borrowed quota included; nothing without a quota. */
  readonly quotaLimitOf: (teamId: string) => QuotaLimit | undefined;
}

export class AdmissionControl {
  private readonly held = HeldInputs.create();

  private constructor(private readonly options: AdmissionControlOptions) {}

  static create(options: AdmissionControlOptions): AdmissionControl {
    return new AdmissionControl(options);
  }

  /**
   * Checks a new submission.
   *
   * @param caller - who submits
   * @param submission - the submission
   * @param active - the active configuration
   * @returns why it is refused, or nothing
   */
  check(caller: Caller, submission: Submission, active: ActiveConfiguration): Problem | undefined {
    return (
      checkSubmission(submission, active) ??
      this.checkLoad(caller, active) ??
      this.checkExpectedTimes(caller, submission, active)
    );
  }

  /**
   * Counts the inputs of an accepted job towards the held bytes until the job is answered.
   *
   * @param submission - the submission of the job
   * @param answer - settles when the job is answered
   */
  hold(submission: Submission, answer: Promise<unknown>): void {
    this.held.hold(submission, answer);
  }

  /** Refuses submissions of the caller's class while the daemon is overloaded. */
  private checkLoad(caller: Caller, { rules }: ActiveConfiguration): Problem | undefined {
    const { queue, processLoad, freePeerSlots } = this.options;
    const overload = detectOverload({
      queueMs: estimatePayingWaitMs(queue, freePeerSlots()),
      maxQueueMs: rules.maxQueueMs,
      waitingTasks: queue.size,
      eventLoopDelayMs: processLoad.eventLoopDelayMs(),
      memoryShare: processLoad.memoryShare(),
      heldInputBytes: this.held.bytes,
    });
    return checkOverload(overload, caller.class);
  }

  /** Refuses a job that is not expected to end before its deadline, or to start soon enough. */
  private checkExpectedTimes(
    caller: Caller,
    submission: Submission,
    { inventory, rules }: ActiveConfiguration,
  ): Problem | undefined {
    const operations = submission.tasks.flatMap(
      ({ operation }) => inventory.operations.get(operation) ?? [],
    );
    const { deadlineMs } = submission;
    const newJob = {
      callerGroup: { callerClass: caller.class, teamId: caller.teamId },
      operations,
    };
    const { queue, freePeerSlots, quotaLimitOf } = this.options;
    const quota = quotaLimitOf(caller.teamId);
    const overQuota =
      quota === undefined ? undefined : checkQuota(queue, quota, newJob, deadlineMs);
    const times = estimateTimes(queue, freePeerSlots(), newJob);
    return overQuota ?? checkDeadline(times, deadlineMs) ?? checkQueueWait(times, rules.maxQueueMs);
  }
}

const checkDeadline = (
  { waitMs, runMs }: ExpectedTimes,
  deadlineMs: number,
): Problem | undefined => {
  if (waitMs + runMs <= deadlineMs) {
    return undefined;
  }
  if (runMs > deadlineMs) {
    const detail = `The job takes about ${Math.ceil(runMs)} ms on idle endpoints.`;
    return createProblem('deadline-too-short', detail, { where: 'deadlineMs' });
  }
  const retryAfterMs = Math.ceil(waitMs + runMs - deadlineMs);
  return createProblem('deadline-too-short', 'Too much work waits to meet the deadline.', {
    retryAfterMs,
  });
};

const checkQueueWait = ({ waitMs }: ExpectedTimes, maxQueueMs: number): Problem | undefined =>
  waitMs <= maxQueueMs
    ? undefined
    : createProblem('overloaded', 'Too much work waits.', {
        retryAfterMs: Math.ceil(waitMs - maxQueueMs),
      });

/**
 * Checks the deadline and every task of a submission against the active configuration.
 *
 * @param submission - the submission
 * @param active - the active configuration
 * @returns why it is refused, or nothing
 */
export const checkSubmission = (
  submission: Submission,
  active: ActiveConfiguration,
): Problem | undefined => {
  if (submission.deadlineMs > active.rules.maxDeadlineMs) {
    const detail = `The deadline must be at most ${active.rules.maxDeadlineMs} ms.`;
    return createProblem('invalid-request', detail, { where: 'deadlineMs' });
  }
  for (const [index, task] of submission.tasks.entries()) {
    const problem = checkTask(task, `tasks[${index}]`, active);
    if (problem !== undefined) {
      return problem;
    }
  }
  return undefined;
};

const checkTask = (
  { operation: operationId, input }: TaskSpec,
  where: string,
  { inventory }: ActiveConfiguration,
): Problem | undefined => {
  const operation = inventory.operations.get(operationId);
  if (operation === undefined) {
    return createProblem('unknown-operation', `Operation ${operationId} is not declared.`, {
      where: `${where}.operation`,
    });
  }
  if (!inventory.isRunnable(operation)) {
    return createProblem('no-fitting-endpoint', `No endpoint can run ${operationId}.`, {
      where: `${where}.operation`,
    });
  }
  return checkInput(operation, input, `${where}.input`);
};

const checkInput = (operation: Operation, input: unknown, where: string): Problem | undefined =>
  inputSizeBytes(input) <= operation.maxInputBytes
    ? undefined
    : createProblem('too-large', `An input may have ${operation.maxInputBytes} bytes.`, { where });
