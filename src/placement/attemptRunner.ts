/**
 * Runs attempts on endpoints under leases, and stops them.
 */
import { createProblem } from '../errors/problem.js';
import type { Problem } from '../errors/problem.js';
import type { PlacedEndpoint } from '../inventory/inventoryIndex.js';
import type { TaskOutcome } from '../types/jobs.js';
import type { Clock } from '../ports/clock.js';
import type { EndpointPort, EndpointReply, TaskStart } from '../ports/endpoints.js';
import { firstLeaseMs, keepLease } from '../leases/leaseKeeper.js';
import type { PendingTask } from '../queue/types.js';

/** Time that an endpoint has to acknowledge a cancellation. */
const cancelTimeoutMs = 1_000;

export interface AttemptRunnerOptions {
  readonly incarnation: string;
  readonly clock: Clock;
  readonly endpoints: EndpointPort;
}

/** How an attempt ended. */
export type AttemptEnd =
  | { readonly kind: 'replied'; readonly reply: EndpointReply; readonly elapsedMs: number }
  /** Stopped by this daemon: the job ended, or another attempt answered first. */
  | { readonly kind: 'stopped'; readonly elapsedMs: number }
  /** The deadline passed before the start, so nothing was sent. */
  | { readonly kind: 'past-deadline' };

/** One attempt to run a task, from its assignment to a slot. */
export interface Attempt {
  readonly entry: PendingTask;
  readonly placed: PlacedEndpoint;
  readonly stop: AbortController;
  /** Whether the start was sent, so that the endpoint may run the task. */
  isSent: boolean;
}

export class AttemptRunner {
  /** Attempts that are registered and have not ended, by task. */
  private readonly running = new Map<PendingTask, Set<Attempt>>();

  private constructor(private readonly options: AttemptRunnerOptions) {}

  static create(options: AttemptRunnerOptions): AttemptRunner {
    return new AttemptRunner(options);
  }

  /** Returns whether a task has an attempt that is registered and has not ended. */
  isRunning(entry: PendingTask): boolean {
    return this.running.has(entry);
  }

  /**
   * Registers an attempt before it runs, so that it is stopped if its job ends in between.
   *
   * @param placed - the endpoint to run on
   * @param entry - the task
   */
  register(placed: PlacedEndpoint, entry: PendingTask): Attempt {
    const attempt: Attempt = { entry, placed, stop: new AbortController(), isSent: false };
    const taskAttempts = this.running.get(entry) ?? new Set();
    taskAttempts.add(attempt);
    this.running.set(entry, taskAttempts);
    return attempt;
  }

  /**
   * Runs a registered attempt. Its deadline is checked right before the start is sent.
   *
   * @param attempt - the attempt
   */
  async run(attempt: Attempt): Promise<AttemptEnd> {
    const end = attempt.stop.signal.aborted
      ? ({ kind: 'stopped', elapsedMs: 0 } as const)
      : await this.send(attempt);
    this.unregister(attempt);
    return end;
  }

  private async send(attempt: Attempt): Promise<AttemptEnd> {
    const { entry, stop } = attempt;
    const { task } = entry;
    const { clock, incarnation } = this.options;
    const startedAtMs = clock.nowMs();
    const timeLeftMs = task.deadlineAtMs - startedAtMs;
    if (timeLeftMs <= 0) {
      return { kind: 'past-deadline' };
    }
    entry.attempts += 1;
    attempt.isSent = true;
    const start = {
      incarnation,
      taskId: task.taskId,
      attempt: entry.attempts,
      operation: task.operation.operationId,
      input: task.input,
      leaseMs: firstLeaseMs(timeLeftMs),
    };
    const reply = await this.runUnderLease(attempt, start);
    const elapsedMs = clock.nowMs() - startedAtMs;
    return stop.signal.aborted
      ? { kind: 'stopped', elapsedMs }
      : { kind: 'replied', reply, elapsedMs };
  }

  /**
   * Waits for the reply while the lease is renewed. A lease that lapses without an answer makes the
   * reply `unknown`, since the endpoint may still have run the task.
   */
  private async runUnderLease(
    { entry, placed, stop }: Attempt,
    start: TaskStart,
  ): Promise<EndpointReply> {
    const { endpoints } = this.options;
    const answered = new AbortController();
    const { deadlineAtMs } = entry.task;
    const reply = endpoints.run(placed.endpoint, start, stop.signal);
    if (this.options.clock.nowMs() + start.leaseMs >= deadlineAtMs) {
      return reply;
    }
    const leaseEnd = keepLease(this.options, placed.endpoint, start, deadlineAtMs, answered.signal);
    const lapsed = leaseEnd.then((end) => (end === 'lapsed' ? leaseLapsedReply : reply));
    const first = await Promise.race([reply, lapsed]);
    answered.abort();
    return first;
  }

  /**
   * Answers the tasks of a job that run, and stops their attempts with one message for each
   * endpoint.
   *
   * @param jobId - the job
   */
  stopJob(jobId: string): void {
    const attempts = [...this.running.values()]
      .flatMap((taskAttempts) => [...taskAttempts])
      .filter(({ entry }) => entry.task.jobId === jobId);
    for (const { entry, isSent } of attempts) {
      entry.outcome.resolve(isSent ? stoppedWhileRunning() : stoppedBeforeStart());
    }
    this.stop(attempts);
  }

  /** Stops the attempts of a task that has been answered. */
  stopOthers(entry: PendingTask): void {
    this.stop([...(this.running.get(entry) ?? [])]);
  }

  private stop(attempts: readonly Attempt[]): void {
    const byEndpoint = new Map<PlacedEndpoint, string[]>();
    for (const { entry, placed, stop, isSent } of attempts) {
      stop.abort();
      if (!isSent) {
        continue;
      }
      const taskIds = byEndpoint.get(placed) ?? [];
      taskIds.push(entry.task.taskId);
      byEndpoint.set(placed, taskIds);
    }
    for (const [placed, taskIds] of byEndpoint) {
      const signal = AbortSignal.timeout(cancelTimeoutMs);
      void this.options.endpoints.cancel(placed.endpoint, taskIds, signal);
    }
  }

  private unregister(attempt: Attempt): void {
    const taskAttempts = this.running.get(attempt.entry);
    taskAttempts?.delete(attempt);
    if (taskAttempts?.size === 0) {
      this.running.delete(attempt.entry);
    }
  }
}

const leaseLapsedReply: EndpointReply = { kind: 'unknown', reason: 'lease-lapsed' };

/** Creates the problem of a task whose job ended before the task was started. */
export const createJobEndedProblem = (): Problem =>
  createProblem('cancelled', 'The job ended before this task started.', { runState: 'not-run' });

/** Creates the outcome of a task that was stopped before it was started. */
export const stoppedBeforeStart = (): TaskOutcome => ({
  kind: 'not-run',
  problem: createJobEndedProblem(),
});

/** Creates the outcome of a task that may have run when it was stopped. */
export const stoppedWhileRunning = (): TaskOutcome => ({
  kind: 'outcome-unknown',
  problem: createProblem('outcome-unknown', 'The job ended while this task ran.'),
});
