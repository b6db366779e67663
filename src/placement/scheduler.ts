/**
 * Brings waiting tasks and free slots together. Each slot is served by one async function.
 */
import { createProblem } from '../errors/problem.js';
import type { Problem } from '../errors/problem.js';
import { unreachable } from '../errors/unreachable.js';
import type { PlacedEndpoint } from '../inventory/inventoryIndex.js';
import type { TaskOutcome } from '../jobs/types.js';
import type { Clock } from '../ports/clock.js';
import type { EndpointPort, EndpointReply } from '../ports/endpoints.js';
import type { Logger } from '../ports/logger.js';
import { createDeferred } from '../utils/deferred.js';
import { EndpointPool } from './endpointPool.js';
import { TaskQueue } from './taskQueue.js';
import type { WaitingTask } from './taskQueue.js';
import type { Task } from './types.js';

const busyPauseMs = 20;
const maxAttempts = 5;

export interface SchedulerOptions {
  readonly incarnation: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly endpoints: EndpointPort;
  /** The waiting tasks; an empty queue by default. */
  readonly queue?: TaskQueue;
}

/** A task on an endpoint. */
interface RunningTask {
  readonly entry: WaitingTask;
  readonly placed: PlacedEndpoint;
  readonly stop: AbortController;
}

/** An endpoint that this daemon dispatches to. */
interface ServedEndpoint {
  placed: PlacedEndpoint;
  readonly stop: AbortController;
  readonly done: Promise<unknown>;
}

export class Scheduler {
  private readonly queue: TaskQueue;
  private readonly pool = EndpointPool.create();
  private readonly served = new Map<string, ServedEndpoint>();
  private readonly running = new Map<string, RunningTask>();
  private readonly draining = new Set<Promise<unknown>>();

  private constructor(private readonly options: SchedulerOptions) {
    this.queue = options.queue ?? TaskQueue.create(options.clock);
    this.queue.onOpening(() => this.dispatch());
  }

  static create(options: SchedulerOptions): Scheduler {
    return new Scheduler(options);
  }

  get freeSlots(): number {
    return this.pool.freeSlots;
  }

  get waitingTasks(): number {
    return this.queue.size;
  }

  /**
   * Runs a task on the first fitting slot.
   *
   * @param task - the task
   * @returns how it ended
   */
  run(task: Task): Promise<TaskOutcome> {
    const entry: WaitingTask = { task, outcome: createDeferred<TaskOutcome>(), attempts: 0 };
    this.place(entry);
    return entry.outcome.promise;
  }

  /**
   * Ends a job: waiting tasks leave the queue in one pass, running ones are stopped with one
   * message for each endpoint.
   *
   * @param jobId - the job
   */
  withdraw(jobId: string): void {
    const notRun = createProblem('cancelled', 'The job ended before this task started.', {
      runState: 'not-run',
    });
    this.withdrawWaiting(jobId, notRun);
    this.stopRunning(jobId);
  }

  /**
   * Takes the waiting tasks of a job out of the queue; what runs goes on.
   *
   * @param jobId - the job
   * @param problem - why they are not run
   */
  withdrawWaiting(jobId: string, problem: Problem): void {
    for (const entry of this.queue.withdraw(jobId)) {
      entry.outcome.resolve({ kind: 'not-run', problem });
    }
  }

  /**
   * Sets the endpoints that this daemon dispatches to. Others finish what they run.
   *
   * @param endpoints - the endpoints
   */
  serve(endpoints: readonly PlacedEndpoint[]): void {
    this.queue.trialCap.setEndpoints(endpoints);
    const wanted = new Map(endpoints.map((placed) => [placed.endpoint.endpointId, placed]));
    for (const [endpointId, served] of this.served) {
      if (wanted.get(endpointId) === served.placed) {
        continue;
      }
      this.served.delete(endpointId);
      served.stop.abort();
      this.pool.release(served.placed);
      this.draining.add(served.done);
      void served.done.then(() => this.draining.delete(served.done));
    }
    for (const [endpointId, placed] of wanted) {
      if (!this.served.has(endpointId)) {
        this.served.set(endpointId, this.startServing(placed));
      }
    }
  }

  async close(): Promise<void> {
    this.serve([]);
    await Promise.all(this.draining);
  }

  private startServing(placed: PlacedEndpoint): ServedEndpoint {
    const stop = new AbortController();
    const slots = Array.from({ length: placed.worker.slots }, () =>
      this.serveSlot(placed, stop.signal),
    );
    return { placed, stop, done: Promise.all(slots) };
  }

  /** Serves one slot of an endpoint: one task after the other, until the endpoint is not served. */
  private async serveSlot(placed: PlacedEndpoint, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const slot = this.pool.addIdle(placed);
      this.dispatch();
      const entry = await slot.next.promise;
      if (entry === undefined) {
        return;
      }
      await this.runOn(placed, entry, signal);
    }
  }

  private async runOn(
    placed: PlacedEndpoint,
    entry: WaitingTask,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock } = this.options;
    const startedAtMs = clock.nowMs();
    const reply = await this.attempt(placed, entry);
    this.queue.ended(entry, clock.nowMs() - startedAtMs);
    if (this.settle(entry, reply) === 'again') {
      await clock.sleep(busyPauseMs, signal);
      this.place(entry);
    }
  }

  private place(entry: WaitingTask): void {
    this.queue.push(entry);
    this.dispatch();
  }

  /** Brings waiting tasks to idle slots until one of both runs out. */
  private dispatch(): void {
    for (;;) {
      const entry = this.queue.take((operation) => this.pool.hasFree(operation));
      const slot = entry === undefined ? undefined : this.pool.take(entry.task.operation);
      if (entry === undefined || slot === undefined) {
        return;
      }
      slot.next.resolve(entry);
    }
  }

  private async attempt(placed: PlacedEndpoint, entry: WaitingTask): Promise<EndpointReply> {
    const { task } = entry;
    const { clock, endpoints, incarnation } = this.options;
    const leaseMs = task.deadlineAtMs - clock.nowMs();
    if (leaseMs <= 0) {
      entry.outcome.resolve({ kind: 'not-run', problem: pastDeadline() });
      return { kind: 'not-started', reason: 'busy' };
    }
    entry.attempts += 1;
    const stop = new AbortController();
    this.running.set(task.taskId, { entry, placed, stop });
    const start = {
      incarnation,
      taskId: task.taskId,
      attempt: entry.attempts,
      operation: task.operation.operationId,
      input: task.input,
      leaseMs,
    };
    const reply = await endpoints.run(placed.endpoint, start, stop.signal);
    this.running.delete(task.taskId);
    return reply;
  }

  /** Resolves the outcome, or asks for another attempt where the task certainly did not start. */
  private settle(entry: WaitingTask, reply: EndpointReply): 'settled' | 'again' {
    switch (reply.kind) {
      case 'done':
        entry.outcome.resolve({ kind: 'done', result: reply.result });
        return 'settled';
      case 'failed':
        entry.outcome.resolve({ kind: 'failed', detail: reply.detail });
        return 'settled';
      case 'unknown':
        entry.outcome.resolve({
          kind: 'outcome-unknown',
          problem: createProblem(
            'outcome-unknown',
            `The endpoint gave no answer: ${reply.reason}.`,
          ),
        });
        return 'settled';
      case 'not-started':
        return this.settleNotStarted(entry);
      default:
        return unreachable(reply);
    }
  }

  private settleNotStarted(entry: WaitingTask): 'settled' | 'again' {
    if (entry.task.deadlineAtMs <= this.options.clock.nowMs()) {
      entry.outcome.resolve({ kind: 'not-run', problem: pastDeadline() });
      return 'settled';
    }
    if (entry.attempts >= maxAttempts) {
      const problem = createProblem('overloaded', 'Every endpoint that was tried was busy.');
      entry.outcome.resolve({ kind: 'not-run', problem });
      return 'settled';
    }
    return 'again';
  }

  private stopRunning(jobId: string): void {
    const byEndpoint = new Map<PlacedEndpoint, string[]>();
    for (const { entry, placed, stop } of this.running.values()) {
      if (entry.task.jobId !== jobId) {
        continue;
      }
      byEndpoint.set(placed, [...(byEndpoint.get(placed) ?? []), entry.task.taskId]);
      const problem = createProblem('outcome-unknown', 'The job ended while this task ran.');
      entry.outcome.resolve({ kind: 'outcome-unknown', problem });
      stop.abort();
    }
    for (const [placed, taskIds] of byEndpoint) {
      void this.options.endpoints.cancel(placed.endpoint, taskIds, AbortSignal.timeout(1_000));
    }
  }
}

const pastDeadline = () =>
  createProblem('deadline-exceeded', 'The deadline passed before this task started.', {
    runState: 'not-run',
  });
