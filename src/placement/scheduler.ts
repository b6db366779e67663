/**
 * Brings waiting tasks and free slots together. Each slot is served by one async function.
 */
import type { Problem } from '../errors/problem.js';
import { unreachable } from '../errors/unreachable.js';
import type { PlacedEndpoint } from '../inventory/inventoryIndex.js';
import type { Operation } from '../inventory/types.js';
import type { TaskOutcome } from '../jobs/types.js';
import type { Clock } from '../ports/clock.js';
import type { EndpointPort } from '../ports/endpoints.js';
import type { Logger } from '../ports/logger.js';
import type { Random } from '../ports/random.js';
import { createDeferred } from '../utils/deferred.js';
import { Attempts, withdrawnProblem } from './attempts.js';
import type { AttemptEnd } from './attempts.js';
import { EndpointPool } from './endpointPool.js';
import { HoldBack } from './holdBack.js';
import type { Assignment, PooledEndpoint } from './pooledEndpoint.js';
import { RetryBudget } from './retryBudget.js';
import { ServedEndpoint } from './servedEndpoint.js';
import { settle } from './settlement.js';
import { TaskQueue } from '../queue/taskQueue.js';
import type { WaitingTask } from '../queue/types.js';
import type { PlacementPolicy, PlacementRules, Task } from './types.js';

export interface SchedulerOptions {
  readonly incarnation: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly endpoints: EndpointPort;
  /** The waiting tasks; an empty queue by default. */
  readonly queue?: TaskQueue;
  readonly policy?: PlacementPolicy;
  /** Rules in force now. */
  readonly rules: () => PlacementRules;
}

export class Scheduler {
  private readonly queue: TaskQueue;
  private readonly pool: EndpointPool;
  private readonly attempts: Attempts;
  private readonly holdBack: HoldBack;
  private readonly budget = RetryBudget.create();
  private readonly served = new Map<string, ServedEndpoint>();
  private readonly draining = new Set<Promise<void>>();
  private readonly stop = new AbortController();

  private constructor(private readonly options: SchedulerOptions) {
    const { clock, random } = options;
    const policy = options.policy ?? { kind: 'expected-completion' };
    this.queue = options.queue ?? TaskQueue.create(clock);
    this.queue.onOpening(() => this.dispatch());
    this.pool = EndpointPool.create({ clock, random, policy, runTimes: this.queue.runTimes });
    this.attempts = Attempts.create(options);
    this.holdBack = HoldBack.create(clock, () => this.dispatch(), this.stop.signal);
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
   * Runs a task on a fitting slot.
   *
   * @param task - the task
   * @returns how it ended
   */
  run(task: Task): Promise<TaskOutcome> {
    const entry: WaitingTask = { task, outcome: createDeferred<TaskOutcome>(), attempts: 0 };
    this.budget.firstTry(this.options.rules().retryShare);
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
    this.withdrawWaiting(jobId, withdrawnProblem());
    this.attempts.stopJob(jobId);
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
      const placed = wanted.get(endpointId);
      if (placed === undefined || !served.isFor(placed)) {
        this.release(endpointId, served);
      }
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
    this.stop.abort();
  }

  private startServing(placed: PlacedEndpoint): ServedEndpoint {
    return ServedEndpoint.create(placed, {
      clock: this.options.clock,
      pool: this.pool,
      attempts: this.attempts,
      dispatch: () => this.dispatch(),
      ended: (assignment, pooled, end) => this.ended(assignment, pooled, end),
    });
  }

  private release(endpointId: string, served: ServedEndpoint): void {
    this.served.delete(endpointId);
    const closed = served.close();
    this.draining.add(closed);
    void closed.then(() => this.draining.delete(closed));
  }

  private place(entry: WaitingTask): void {
    this.queue.push(entry);
    this.dispatch();
  }

  /** Brings waiting tasks to idle slots until one of both runs out. */
  private dispatch(): void {
    for (;;) {
      const chosen = new Map<Operation, PooledEndpoint>();
      const entry = this.queue.take((operation) => {
        const pooled = this.choose(operation);
        if (pooled !== undefined) {
          chosen.set(operation, pooled);
        }
        return pooled !== undefined;
      });
      const pooled = entry === undefined ? undefined : chosen.get(entry.task.operation);
      if (entry === undefined || pooled === undefined) {
        return;
      }
      this.holdBack.placed(entry.task.operation);
      this.pool.assign(pooled, this.attempts.prepare(pooled.placed, entry), 'first');
    }
  }

  private choose(operation: Operation): PooledEndpoint | undefined {
    const choice = this.pool.choose(operation, this.queue.size);
    switch (choice.kind) {
      case 'idle':
        return choice.pooled;
      case 'hold':
        return this.holdBack.isHeld(operation, choice) ? undefined : choice.pooled;
      case 'none':
        return undefined;
      default:
        return unreachable(choice);
    }
  }

  /** Answers a task whose attempt ended, or lets it wait for another attempt. */
  private ended({ attempt }: Assignment, pooled: PooledEndpoint, end: AttemptEnd): void {
    const { entry } = attempt;
    const { operation } = entry.task;
    this.queue.ended(entry, end.kind === 'past-deadline' ? 0 : end.elapsedMs);
    if (end.kind === 'replied' && end.reply.kind === 'done') {
      this.pool.observe(pooled, operation, end.elapsedMs);
    }
    const settlement = settle(operation, end);
    switch (settlement.kind) {
      case 'answered':
        entry.outcome.resolve(settlement.outcome);
        return;
      case 'not-started':
        this.place(entry);
        return;
      case 'repeatable':
        if (this.budget.take()) {
          this.place(entry);
          return;
        }
        entry.outcome.resolve(settlement.otherwise);
        return;
      default:
        return unreachable(settlement);
    }
  }
}
