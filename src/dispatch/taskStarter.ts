/**
 * Assigns waiting tasks to workers: each task starts on the worker that fits best, expires, or is
 * returned to its requester.
 */
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { Metrics } from '../ports/metrics.js';
import type { Random } from '../ports/random.js';
import { ServicePriorities } from '../scheduling/servicePriorities.js';
import type { StartReservation } from '../scheduling/startReservation.js';
import type { SchedulingPolicy } from '../types/schedulingPolicy.js';
import type { TaskSupervisor } from '../utils/taskSupervisor.js';
import type { BatchedTask, OpenBatch } from './openBatch.js';
import type { WorkerPool } from './workerPool.js';
import type { LocalCandidate } from './workerViews.js';
import { longestLeaseDurationMs, maxDrift } from './leaseTimes.js';
import type { LeaseTimes } from './leaseTimes.js';
import { returnTask } from './taskReturns.js';
import { ReservedStarts } from './reservedStarts.js';
import { idlePollMs } from './workerReports.js';
import { isSuspect } from './suspectIsolation.js';
import { demandOf, taskNameOf } from './taskNames.js';
import { WaitingTasks } from './waitingTasks.js';
import type { WaitingEntry } from './waitingTasks.js';
import { chooseLocally } from './localChoice.js';
import { missesObjective } from './workerChoice.js';
import type { RatedCandidate } from './workerChoice.js';

/** A pass over the waiting tasks of a service ends after this many that cannot start. */
const maxBlockedTasks = 6;
/** Period of the passes while tasks wait, since some may start or expire without an event. */
const retryPeriodMs = 25;
/** Longest time by which the clock of a worker may have fallen behind since it was read. */
const longestReadingLagMs = idlePollMs * maxDrift;
/** Safety margin before the latest start that meets the objective, as a share of the run time. */
const startMargin = 0.15;

/**
 * What came of an attempt to start a task. `settled`: it was started, expired or returned, and no longer waits.
 * `blocked`: it waits for free capacity, like those behind it. `held`: it waits for something else, and others
 * need not wait for it.
 */
type StartAttempt = 'settled' | 'blocked' | 'held';

/** What a pass over the waiting tasks of a service has found so far. */
interface Pass {
  /** Whether priorities decide, so that workers are reserved and late tasks deferred. */
  readonly isRanked: boolean;
  /** The worker that is reserved for the first blocked task. */
  reservation: StartReservation | undefined;
}

export interface TaskStarterOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly workers: WorkerPool;
  readonly farRackFactor: number;
  readonly schedulingPolicy: SchedulingPolicy;
  readonly leaseTimes: LeaseTimes;
  /** Whether a task has to wait for proof of what became of its earlier runs. */
  readonly awaitsProof: (task: BatchedTask) => boolean;
  /** Called before waiting tasks are started; may withdraw batches. */
  readonly beforeOrders?: () => void;
  readonly supervisor: TaskSupervisor;
}

export class TaskStarter {
  private readonly waiting = WaitingTasks.create();
  private readonly priorities: ServicePriorities;
  private readonly reservedStarts: ReservedStarts;
  private readonly stop = new AbortController();
  private isStartingTasks = false;
  private isRetryScheduled = false;

  private constructor(private readonly options: TaskStarterOptions) {
    this.priorities = ServicePriorities.create(options.schedulingPolicy);
    this.reservedStarts = ReservedStarts.create(options);
  }

  static create(options: TaskStarterOptions): TaskStarter {
    return new TaskStarter(options);
  }

  /** @returns the waiting tasks, in the order in which they should start */
  listWaiting(): BatchedTask[] {
    return this.waiting.list();
  }

  /** Queues a task; returns it to its requester if no worker here may run it. */
  enqueue(task: BatchedTask): void {
    const demand = demandOf(task);
    const fastestRunMs = this.options.workers.fastestRunMs(task, demand);
    if (fastestRunMs === undefined) {
      returnTask(task, 'no worker here is in service for it');
      return;
    }
    const { serviceId, priority } = task.batch.content;
    const nowMs = this.options.clock.nowMs();
    this.priorities.record(serviceId, priority, nowMs);
    this.waiting.push(task, demand.objectiveAtMs - fastestRunMs * (1 + startMargin), nowMs);
    this.refreshOrder(serviceId);
  }

  remove(task: BatchedTask): void {
    this.waiting.remove(task);
  }

  removeBatch(batch: OpenBatch): void {
    this.waiting.removeBatch(batch);
  }

  /**
   * Returns to their requester the tasks of a new batch whose expected wait here is too long.
   *
   * @returns whether any task was returned
   */
  returnTasksWithoutCapacity(batch: OpenBatch): boolean {
    const delayed = this.options.workers
      .findTasksExceedingMaxWait(this.waiting.list())
      .filter((task) => task.batch === batch);
    for (const task of delayed) {
      this.waiting.remove(task);
      returnTask(task, 'no room');
    }
    return delayed.length > 0;
  }

  /**
   * Starts the waiting tasks that can start now; called whenever the free capacity, the workers or
   * the waiting tasks have changed.
   */
  startReadyTasks(): void {
    if (this.isStartingTasks || this.stop.signal.aborted) {
      return;
    }
    this.options.beforeOrders?.();
    this.isStartingTasks = true;
    this.options.workers.duringPass(() => {
      this.waiting.serviceIds.forEach((id) => this.startTasksOf(id));
    });
    this.isStartingTasks = false;
    if (this.waiting.size > 0) {
      void this.scheduleRetry();
    }
  }

  close(): void {
    this.stop.abort();
  }

  /** @returns whether priorities decide the order */
  private refreshOrder(serviceId: string): boolean {
    const nowMs = this.options.clock.nowMs();
    const isRanked = this.priorities.decide(serviceId, nowMs);
    this.waiting.refresh(serviceId, isRanked, nowMs);
    return isRanked;
  }

  private startTasksOf(serviceId: string): void {
    const pass: Pass = { isRanked: this.refreshOrder(serviceId), reservation: undefined };
    let blocked = 0;
    let entry = this.waiting.next(serviceId);
    while (entry !== undefined && blocked < maxBlockedTasks) {
      blocked += this.tryStartSafely(entry, pass) === 'blocked' ? 1 : 0;
      entry = this.waiting.next(serviceId, entry);
    }
    if (pass.reservation === undefined) {
      this.reservedStarts.release(serviceId);
    }
  }

  private async scheduleRetry(): Promise<void> {
    if (this.isRetryScheduled) {
      return;
    }
    this.isRetryScheduled = true;
    await this.options.clock.sleep(retryPeriodMs, this.stop.signal);
    this.isRetryScheduled = false;
    this.startReadyTasks();
  }

  /** Like `tryStart`, but an error leaves the task waiting. A worker is reserved for the first task that is blocked. */
  private tryStartSafely(entry: WaitingEntry, pass: Pass): StartAttempt {
    const { task } = entry;
    try {
      const attempt = this.tryStart(entry, pass);
      if (attempt === 'blocked' && pass.isRanked) {
        const { workers } = this.options;
        pass.reservation ??= this.reservedStarts.reserve(task, workers.openOutlooks(task));
      }
      return attempt;
    } catch (error) {
      this.options.supervisor.report('starting a task', error);
      return 'blocked';
    }
  }

  private tryStart(entry: WaitingEntry, pass: Pass): StartAttempt {
    const { task } = entry;
    const { workers } = this.options;
    const nowMs = this.options.clock.nowMs();
    const demand = demandOf(task);
    const lastEndAtMs = task.batch.wasOffered ? demand.giveUpAtMs : task.batch.expiresAtMs;
    const leaseEndAtMs = nowMs + longestLeaseDurationMs(this.options.leaseTimes);
    if (!task.batch.mayRunUntil(leaseEndAtMs)) {
      this.expire(task);
      return 'settled';
    }
    if (nowMs <= lastEndAtMs && !this.isConfirmed(task, nowMs)) {
      return 'held';
    }
    const fastestRunMs = workers.fastestRunMs(task, demand);
    if (fastestRunMs === undefined) {
      this.waiting.remove(task);
      returnTask(task, 'no worker here is in service for it');
      return 'settled';
    }
    if (nowMs + fastestRunMs > lastEndAtMs) {
      this.expire(task);
      return 'settled';
    }
    if (workers.hasRunOf(task) || this.options.awaitsProof(task)) {
      return 'held';
    }
    if (this.isDeferred(entry, pass, demand.objectiveAtMs - fastestRunMs)) {
      return 'held';
    }
    const chosen = chooseLocally(task, demand, pass.reservation, { ...this.options, nowMs });
    // A late start is put off as long as a faster worker could still meet the objective.
    const canMeetObjective = nowMs + fastestRunMs <= demand.objectiveAtMs;
    if (chosen === undefined || (missesObjective(demand, chosen, nowMs) && canMeetObjective)) {
      const isHeld = isSuspect(task) || !this.isConfirmed(task, nowMs + longestReadingLagMs);
      return isHeld ? 'held' : 'blocked';
    }
    this.waiting.remove(task);
    this.start(task, chosen);
    if (pass.reservation !== undefined) {
      this.reservedStarts.recordStart(pass.reservation, chosen.candidate.workerId);
    }
    return 'settled';
  }

  /**
   * Puts a task behind those that can still meet their objective if no worker can end it by then any more. The same pass
   * reaches it again there.
   *
   * @param latestStartMs - latest start that meets the objective on the fastest worker, in monotonic time
   */
  private isDeferred({ task, isLate }: WaitingEntry, pass: Pass, latestStartMs: number): boolean {
    const nowMs = this.options.clock.nowMs();
    if (!pass.isRanked || isLate || nowMs <= latestStartMs) {
      return false;
    }
    this.waiting.defer(task, nowMs);
    this.options.metrics.count('deferred_tasks', 1);
    return true;
  }

  /** Ends a task that can no longer end in time. */
  private expire(task: BatchedTask): void {
    this.waiting.remove(task);
    task.batch.end(task, { kind: 'expired', index: task.index });
  }

  /** Whether the requester of a task has confirmed it so lately that a full lease may be issued at a time. */
  private isConfirmed({ batch }: BatchedTask, atMs: number): boolean {
    return atMs + longestLeaseDurationMs(this.options.leaseTimes) <= batch.runsUntilMs;
  }

  private start(
    task: BatchedTask,
    { candidate, expectedMs }: RatedCandidate<LocalCandidate>,
  ): void {
    const nowMs = this.options.clock.nowMs();
    const taskName = taskNameOf(task);
    this.options.logger.info('A run is started.', {
      taskName,
      run: task.nextRun,
      workerId: candidate.workerId,
      expectedMs: Math.round(expectedMs),
      leftMs: Math.round(task.batch.objectiveAtMs - nowMs),
      ageMs: Math.round(nowMs - task.batch.arrivedAtMs),
    });
    const needs = task.batch.content.needs.resources;
    candidate.worker.start({ task, taskName, needs, expectedMs });
  }
}
