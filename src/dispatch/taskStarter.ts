/**
 * Assigns waiting tasks to workers: each task starts on the worker that fits best, expires, or is
 * returned to its requester.
 */
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { Random } from '../ports/random.js';
import type { TaskSupervisor } from '../utils/taskSupervisor.js';
import type { BatchedTask, OpenBatch } from './openBatch.js';
import type { LocalCandidate, WorkerPool } from './workerPool.js';
import { longestLeaseDurationMs, maxDrift } from './leaseTimes.js';
import type { LeaseTimes } from './leaseTimes.js';
import { toStatedLosses } from './taskLosses.js';
import { idlePollMs } from './workerReports.js';
import { isSuspect } from './suspectIsolation.js';
import { demandOf, taskNameOf } from './taskNames.js';
import { WaitingTasks } from './waitingTasks.js';
import { chooseWorker, missesObjective } from './workerChoice.js';
import type { RatedCandidate, TaskDemand } from './workerChoice.js';

/** A pass over the waiting tasks ends after this many that cannot start. */
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

export interface TaskStarterOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly workers: WorkerPool;
  readonly farRackFactor: number;
  readonly leaseTimes: LeaseTimes;
  /** Whether a task has to wait for proof of what became of its earlier runs. */
  readonly awaitsProof: (task: BatchedTask) => boolean;
  /** Called before waiting tasks are started; may withdraw batches. */
  readonly beforeOrders?: () => void;
  readonly supervisor: TaskSupervisor;
}

export class TaskStarter {
  private readonly waiting = WaitingTasks.create();
  private readonly stop = new AbortController();
  private isStartingTasks = false;
  private isRetryScheduled = false;

  private constructor(private readonly options: TaskStarterOptions) {}

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
    this.waiting.push(task, demand.objectiveAtMs - fastestRunMs * (1 + startMargin));
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
    let blocked = 0;
    for (const task of this.waiting.list()) {
      if (blocked >= maxBlockedTasks) {
        break;
      }
      blocked += this.tryStartSafely(task) === 'blocked' ? 1 : 0;
    }
    this.isStartingTasks = false;
    if (this.waiting.size > 0) {
      void this.scheduleRetry();
    }
  }

  close(): void {
    this.stop.abort();
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

  /** Like `tryStart`, but an error leaves the task waiting, and the others go on. */
  private tryStartSafely(task: BatchedTask): StartAttempt {
    try {
      return this.tryStart(task);
    } catch (error) {
      this.options.supervisor.report('starting a task', error);
      return 'blocked';
    }
  }

  private tryStart(task: BatchedTask): StartAttempt {
    const { clock, workers } = this.options;
    const nowMs = clock.nowMs();
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
    const chosen = this.choose(task, demand, nowMs);
    // A late start is put off as long as a faster worker could still meet the objective.
    const canMeetObjective = nowMs + fastestRunMs <= demand.objectiveAtMs;
    if (chosen === undefined || (missesObjective(demand, chosen, nowMs) && canMeetObjective)) {
      const isHeld = isSuspect(task) || !this.isConfirmed(task, nowMs + longestReadingLagMs);
      return isHeld ? 'held' : 'blocked';
    }
    this.waiting.remove(task);
    this.start(task, chosen);
    return 'settled';
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

  private choose(
    task: BatchedTask,
    demand: TaskDemand,
    nowMs: number,
  ): RatedCandidate<LocalCandidate> | undefined {
    const { random, workers, farRackFactor } = this.options;
    const candidates = isSuspect(task)
      ? workers.isolatedCandidateFor(task)
      : workers.candidatesFor(task);
    return chooseWorker(demand, candidates, { nowMs, farRackFactor, random: () => random.next() });
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

/** Returns a task that is not running to its requester, which may send it to another dispatcher. */
const returnTask = (task: BatchedTask, reason: string): void => {
  const { index, nextRun, failedRuns, losses } = task;
  const returned = { index, nextRun, failedRuns, ...toStatedLosses(losses) };
  task.batch.end(task, { kind: 'returned', task: returned, reason });
};
