/**
 * Brings waiting tasks and free slots together. Each slot is served by one async function.
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
import type { PeerSlots } from '../passing/peerSlots.js';
import type { TaskPasser } from '../passing/taskPasser.js';
import { createDeferred } from '../utils/deferred.js';
import { RecentNames } from '../utils/recentNames.js';
import { AttemptRunner, stoppedBeforeStart, createJobEndedProblem } from './attempts.js';
import type { AttemptEnd } from './attempts.js';
import { EndpointPool } from './endpointPool.js';
import { HoldLimiter } from './holdBack.js';
import type { Assignment, PooledEndpoint } from './pooledEndpoint.js';
import { PlacementChooser, mayOffload } from './placeChoice.js';
import type { Placement } from './placeChoice.js';
import { Quarantine } from './quarantine.js';
import { RetryBudget } from './retryBudget.js';
import { ServedEndpoints } from './servedEndpoints.js';
import { decideAfterAttempt, decideAfterOffload } from './settlement.js';
import type { RetryDecision } from './settlement.js';
import { TaskQueue } from '../queue/taskQueue.js';
import type { WaitingTask } from '../queue/types.js';
import type { PlacementPolicy, PlacementRules, Task } from './types.js';

/** Tasks that one round of decisions takes and puts back at most. */
const maxSetAsidePerRound = 4;
/** Ended jobs that are recognised when a task of theirs comes back late. */
const maxWithdrawnJobs = 4_096;

/** How tasks go to peers. */
export interface Offloading {
  readonly slots: PeerSlots;
  readonly passer: TaskPasser;
}

/** A task with the place that was chosen for it. */
interface PlacedTask {
  readonly entry: WaitingTask;
  readonly placement: Placement;
}

export interface SchedulerOptions {
  readonly incarnation: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly endpoints: EndpointPort;
  /** The waiting tasks; an empty queue by default. */
  readonly queue?: TaskQueue;
  readonly policy?: PlacementPolicy;
  /** Left out where tasks are not passed to peers. */
  readonly passing?: Offloading;
  /** Rules in force now. */
  readonly rules: () => PlacementRules;
}

export class Scheduler {
  private readonly queue: TaskQueue;
  private readonly pool: EndpointPool;
  private readonly quarantine: Quarantine;
  private readonly attempts: AttemptRunner;
  private readonly holdLimiter: HoldLimiter;
  private readonly chooser: PlacementChooser;
  private readonly withdrawn = RecentNames.create(maxWithdrawnJobs);
  private readonly retryBudget = RetryBudget.create();
  private readonly servedEndpoints: ServedEndpoints;
  private readonly stop = new AbortController();

  private constructor(private readonly options: SchedulerOptions) {
    const { clock, random } = options;
    const policy = options.policy ?? { kind: 'expected-completion' };
    this.queue = options.queue ?? TaskQueue.create(clock);
    this.queue.onUnthrottle(() => this.dispatch());
    options.passing?.slots.onFreeSlots(() => this.dispatch());
    const { runTimes } = this.queue;
    this.pool = EndpointPool.create({ clock, random, policy, runTimes });
    this.quarantine = Quarantine.create(() => this.pool.endpointCount);
    this.attempts = AttemptRunner.create(options);
    this.holdLimiter = HoldLimiter.create(clock, () => this.dispatch(), this.stop.signal);
    this.servedEndpoints = ServedEndpoints.create({
      clock,
      pool: this.pool,
      attempts: this.attempts,
      quarantine: this.quarantine,
      dispatch: () => this.dispatch(),
      ended: (assignment, pooled, end) => this.ended(assignment, pooled, end),
    });
    this.chooser = PlacementChooser.create({
      pool: this.pool,
      holdLimiter: this.holdLimiter,
      runTimes,
      peerSlots: options.passing?.slots,
      objective: () => options.rules().objective,
    });
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
    this.retryBudget.recordFirstAttempt(this.options.rules().retryShare);
    this.enqueue(entry);
    return entry.outcome.promise;
  }

  /**
   * Ends a job: waiting tasks leave the queue in one pass, running ones are stopped with one
   * message for each endpoint.
   *
   * @param jobId - the job
   */
  withdraw(jobId: string): void {
    this.withdrawWaiting(jobId, createJobEndedProblem());
    this.withdrawn.add(jobId);
    this.options.passing?.passer.withdraw(jobId);
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
    this.servedEndpoints.setEndpoints(endpoints);
  }

  async close(): Promise<void> {
    await this.servedEndpoints.close();
    this.stop.abort();
    this.options.passing?.passer.close();
  }

  private enqueue(entry: WaitingTask): void {
    this.queue.push(entry);
    this.dispatch();
  }

  /** Brings waiting tasks to places until one of both runs out. */
  private dispatch(): void {
    const setAside: WaitingTask[] = [];
    while (setAside.length < maxSetAsidePerRound) {
      const chosen = this.takeNext();
      if (chosen === undefined) {
        break;
      }
      if (!this.start(chosen.entry, chosen.placement)) {
        setAside.push(chosen.entry);
      }
    }
    setAside.forEach((entry) => this.putBack(entry));
  }

  private takeNext(): PlacedTask | undefined {
    const places = new Map<Operation, Placement>();
    const entry = this.queue.take((operation) => {
      const place = this.chooser.choose(operation, this.queue.size);
      if (place !== undefined) {
        places.set(operation, place);
      }
      return place !== undefined;
    });
    const place = entry === undefined ? undefined : places.get(entry.task.operation);
    return entry === undefined || place === undefined ? undefined : { entry, placement: place };
  }

  /** Starts a task, unless it may not go to the place. */
  private start(entry: WaitingTask, place: Placement): boolean {
    switch (place.kind) {
      case 'slot':
        this.startLocally(place.pooled, entry);
        return true;
      case 'peer': {
        if (mayOffload(entry.task, place, this.options.clock.nowMs())) {
          void this.runOnPeer(entry, place.incarnation);
          return true;
        }
        if (place.localFallback !== undefined) {
          this.startLocally(place.localFallback, entry);
        }
        return place.localFallback !== undefined;
      }
      default:
        return unreachable(place);
    }
  }

  private startLocally(pooled: PooledEndpoint, entry: WaitingTask): void {
    this.holdLimiter.endHold(entry.task.operation);
    this.pool.assign(pooled, this.attempts.register(pooled.placed, entry), 'first');
  }

  private async runOnPeer(entry: WaitingTask, incarnation: string): Promise<void> {
    const end = await this.options.passing?.passer.pass(entry, incarnation);
    if (end === undefined || end.kind === 'not-started') {
      this.requeue(entry);
      return;
    }
    this.queue.ended(entry, end.kind === 'ended' ? end.elapsedMs : 0);
    this.applyDecision(entry, decideAfterOffload(entry.task.operation, end));
    this.dispatch();
  }

  /** Takes the end of an attempt. */
  private ended({ attempt }: Assignment, pooled: PooledEndpoint, end: AttemptEnd): void {
    const { entry } = attempt;
    const { operation } = entry.task;
    if (end.kind === 'replied' && end.reply.kind === 'not-started') {
      this.requeue(entry);
      return;
    }
    this.queue.ended(entry, end.kind === 'past-deadline' ? 0 : end.elapsedMs);
    if (end.kind === 'replied' && end.reply.kind === 'done') {
      this.pool.observe(pooled, operation, end.elapsedMs);
    }
    this.applyDecision(entry, decideAfterAttempt(operation, end));
  }

  /** Lets a task wait again that certainly did not start, unless its job ended meanwhile. */
  private requeue(entry: WaitingTask): void {
    if (this.withdrawn.has(entry.task.jobId)) {
      this.queue.ended(entry, 0);
      entry.outcome.resolve(stoppedBeforeStart());
      return;
    }
    this.putBack(entry);
    this.dispatch();
  }

  private putBack(entry: WaitingTask): void {
    this.queue.ended(entry, 0);
    this.queue.push(entry);
  }

  /** Answers a task, or lets it wait for another attempt. */
  private applyDecision(entry: WaitingTask, settlement: RetryDecision): void {
    switch (settlement.kind) {
      case 'answered':
        entry.outcome.resolve(settlement.outcome);
        return;
      case 'not-started':
        this.requeue(entry);
        return;
      case 'repeatable':
        if (this.retryBudget.tryTakeRetry()) {
          this.requeue(entry);
          return;
        }
        entry.outcome.resolve(settlement.outcomeWithoutRetry);
        return;
      default:
        return unreachable(settlement);
    }
  }
}
