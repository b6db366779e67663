/**
 * Assigns waiting tasks to free slots of endpoints, or offloads them to peers. One async function
 * serves each slot.
 */
import type { Problem } from '../errors/problem.js';
import { unreachable } from '../errors/unreachable.js';
import type { PlacedEndpoint } from '../inventory/inventoryIndex.js';
import type { Operation } from '../types/inventory.js';
import type { TaskOutcome } from '../types/jobs.js';
import type { Clock } from '../ports/clock.js';
import type { EndpointPort } from '../ports/endpoints.js';
import type { Logger } from '../ports/logger.js';
import type { Random } from '../ports/random.js';
import type { PeerSlots } from '../offloading/peerSlots.js';
import type { TaskOffloader } from '../offloading/taskOffloader.js';
import { createDeferred } from '../utils/deferred.js';
import { AttemptRunner, createJobEndedProblem } from './attemptRunner.js';
import { EndpointPool } from './endpointPool.js';
import { HoldLimiter } from './holdLimiter.js';
import type { PooledEndpoint } from './pooledEndpoint.js';
import { PlacementChooser, mayOffload } from './placementChooser.js';
import type { Placement } from './placementChooser.js';
import { Quarantine } from './quarantine.js';
import { ServedEndpoints } from './servedEndpoints.js';
import { TaskResolver } from './taskResolver.js';
import { TaskQueue } from '../queue/taskQueue.js';
import type { PendingTask } from '../queue/types.js';
import type { PlacementPolicy, PlacementRules, Task } from './types.js';

/** Maximum number of tasks that a round takes and puts back, as they may not be offloaded. */
const maxSetAsidePerRound = 4;

/** What the scheduler needs to offload tasks to peers. */
export interface Offloading {
  readonly slots: PeerSlots;
  readonly offloader: TaskOffloader;
}

/** A task that left the queue, with the placement that was chosen for it. */
interface PlacedTask {
  readonly entry: PendingTask;
  readonly placement: Placement;
}

export interface SchedulerOptions {
  readonly incarnation: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly endpoints: EndpointPort;
  /** Holds the waiting tasks; a new empty queue by default. */
  readonly queue?: TaskQueue;
  /** `expected-completion` by default. */
  readonly policy?: PlacementPolicy;
  /** Absent where tasks are not offloaded to peers. */
  readonly offloading?: Offloading;
  /** Returns the rules of the configuration in force. */
  readonly rules: () => PlacementRules;
}

export class Scheduler {
  private readonly queue: TaskQueue;
  private readonly pool: EndpointPool;
  private readonly quarantine: Quarantine;
  private readonly attempts: AttemptRunner;
  private readonly holdLimiter: HoldLimiter;
  private readonly chooser: PlacementChooser;
  private readonly resolver: TaskResolver;
  private readonly servedEndpoints: ServedEndpoints;
  private readonly stop = new AbortController();

  private constructor(private readonly options: SchedulerOptions) {
    const { clock, random } = options;
    const policy = options.policy ?? { kind: 'expected-completion' };
    this.queue = options.queue ?? TaskQueue.create(clock);
    this.queue.onUnthrottle(() => this.dispatch());
    options.offloading?.slots.onFreeSlots(() => this.dispatch());
    const { runTimes } = this.queue;
    this.pool = EndpointPool.create({ clock, random, policy, runTimes });
    this.quarantine = Quarantine.create(() => this.pool.endpointCount);
    this.attempts = AttemptRunner.create(options);
    this.holdLimiter = HoldLimiter.create(clock, () => this.dispatch(), this.stop.signal);
    this.resolver = TaskResolver.create({
      queue: this.queue,
      pool: this.pool,
      dispatch: () => this.dispatch(),
    });
    this.servedEndpoints = ServedEndpoints.create({
      clock,
      pool: this.pool,
      attempts: this.attempts,
      quarantine: this.quarantine,
      dispatch: () => this.dispatch(),
      ended: ({ attempt }, pooled, end) => this.resolver.afterAttempt(attempt.entry, pooled, end),
    });
    this.chooser = PlacementChooser.create({
      pool: this.pool,
      holdLimiter: this.holdLimiter,
      runTimes,
      peerSlots: options.offloading?.slots,
      objective: () => options.rules().objective,
    });
  }

  static create(options: SchedulerOptions): Scheduler {
    return new Scheduler(options);
  }

  /** Idle slots of the endpoints that accept tasks. */
  get freeSlots(): number {
    return this.pool.freeSlots;
  }

  get waitingTasks(): number {
    return this.queue.size;
  }

  /**
   * Queues a task and runs it on a slot that fits, here or at a peer.
   *
   * @param task - the task
   * @returns how it ended; never rejects
   */
  run(task: Task): Promise<TaskOutcome> {
    const entry: PendingTask = { task, outcome: createDeferred<TaskOutcome>(), attempts: 0 };
    this.resolver.recordFirstAttempt(this.options.rules().retryShare);
    this.enqueue(entry);
    return entry.outcome.promise;
  }

  /**
   * Ends a job: its waiting tasks leave the queue in one pass, and its running ones are stopped
   * with one message for each endpoint and each peer.
   *
   * @param jobId - the job
   */
  withdraw(jobId: string): void {
    this.withdrawWaiting(jobId, createJobEndedProblem());
    this.resolver.recordJobEnd(jobId);
    this.options.offloading?.offloader.withdraw(jobId);
    this.attempts.stopJob(jobId);
  }

  /**
   * Removes the waiting tasks of a job from the queue; its running tasks continue.
   *
   * @param jobId - the job
   * @param problem - why the waiting tasks are not run; becomes part of their outcome
   */
  withdrawWaiting(jobId: string, problem: Problem): void {
    for (const entry of this.queue.withdraw(jobId)) {
      entry.outcome.resolve({ kind: 'not-run', problem });
    }
  }

  /**
   * Sets the endpoints that this daemon dispatches to. Endpoints that are left out get no new
   * tasks and finish the running ones.
   *
   * @param endpoints - all endpoints to dispatch to
   */
  setEndpoints(endpoints: readonly PlacedEndpoint[]): void {
    this.queue.trialCap.setEndpoints(endpoints);
    this.servedEndpoints.setEndpoints(endpoints);
  }

  /** Waits for the tasks that run on endpoints, then aborts the requests to peers. */
  async close(): Promise<void> {
    await this.servedEndpoints.close();
    this.stop.abort();
    this.options.offloading?.offloader.close();
  }

  private enqueue(entry: PendingTask): void {
    this.queue.push(entry);
    this.dispatch();
  }

  /** Starts waiting tasks until none can be placed or too many were set aside. */
  private dispatch(): void {
    const setAside: PendingTask[] = [];
    while (setAside.length < maxSetAsidePerRound) {
      const placed = this.takeNext();
      if (placed === undefined) {
        break;
      }
      if (!this.start(placed.entry, placed.placement)) {
        setAside.push(placed.entry);
      }
    }
    setAside.forEach((entry) => this.resolver.putBack(entry));
  }

  /** Takes the first task in queue order whose operation can be placed now. */
  private takeNext(): PlacedTask | undefined {
    const placements = new Map<Operation, Placement>();
    const entry = this.queue.takeNext((operation) => {
      const placement = this.chooser.choose(operation, this.queue.size);
      if (placement !== undefined) {
        placements.set(operation, placement);
      }
      return placement !== undefined;
    });
    const placement = entry === undefined ? undefined : placements.get(entry.task.operation);
    return entry === undefined || placement === undefined ? undefined : { entry, placement };
  }

  /** Starts a task; returns false if it may not be offloaded and has no local fallback. */
  private start(entry: PendingTask, placement: Placement): boolean {
    switch (placement.kind) {
      case 'slot':
        this.startLocally(placement.pooled, entry);
        return true;
      case 'peer': {
        if (mayOffload(entry.task, placement, this.options.clock.nowMs())) {
          void this.runOnPeer(entry, placement.incarnation);
          return true;
        }
        if (placement.localFallback !== undefined) {
          this.startLocally(placement.localFallback, entry);
        }
        return placement.localFallback !== undefined;
      }
      default:
        return unreachable(placement);
    }
  }

  private startLocally(pooled: PooledEndpoint, entry: PendingTask): void {
    this.holdLimiter.endHold(entry.task.operation);
    this.pool.assign(pooled, this.attempts.register(pooled.placed, entry), 'first');
  }

  private async runOnPeer(entry: PendingTask, incarnation: string): Promise<void> {
    const end = await this.options.offloading?.offloader.offload(entry, incarnation);
    this.resolver.afterOffload(entry, end ?? { kind: 'not-started' });
  }
}
