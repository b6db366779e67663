/**
 * Brings waiting tasks and workers together: each task starts where it fits best, or comes back.
 */
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { Random } from '../ports/random.js';
import type { BatchedTask, OpenBatch } from './openBatch.js';
import type { OwnCandidate, ServedWorkers } from './servedWorkers.js';
import { demandOf, taskNameOf } from './taskNames.js';
import { WaitingTasks } from './waitingTasks.js';
import { chooseWorker, isLate } from './workerChoice.js';
import type { RatedCandidate } from './workerChoice.js';

/** Tasks that are looked at in one round beyond those that can start. */
const maxBlocked = 6;
/** Period in which waiting tasks are looked at that no end makes room for, in milliseconds. */
const reviewPeriodMs = 25;
/** Share of a run's expected time by which it should start ahead of the last moment. */
const startMargin = 0.15;

export interface TaskStarterOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly workers: ServedWorkers;
  readonly farRackFactor: number;
}

export class TaskStarter {
  private readonly waiting = WaitingTasks.create();
  private readonly stop = new AbortController();
  private isReviewing = false;
  private isReviewPlanned = false;

  private constructor(private readonly options: TaskStarterOptions) {}

  static create(options: TaskStarterOptions): TaskStarter {
    return new TaskStarter(options);
  }

  /** @returns the tasks that wait, in their order */
  list(): BatchedTask[] {
    return this.waiting.list();
  }

  /** Lets a task wait for room; it comes back if no worker here may get it. */
  enqueue(task: BatchedTask): void {
    const demand = demandOf(task);
    const fastestMs = this.options.workers.fastestMs(task, demand);
    if (fastestMs === undefined) {
      giveBack(task, 'no worker here is in service for it');
      return;
    }
    this.waiting.push(task, demand.objectiveAtMs - fastestMs * (1 + startMargin));
  }

  withdraw(batch: OpenBatch): void {
    this.waiting.removeBatch(batch);
  }

  /**
   * Gives the tasks of a new batch back that would wait too long for room here.
   *
   * @returns whether there were any
   */
  returnForRoom(batch: OpenBatch): boolean {
    const late = this.options.workers
      .findWaitingTooLong(this.waiting.list())
      .filter((task) => task.batch === batch);
    for (const task of late) {
      this.waiting.remove(task);
      giveBack(task, 'no room');
    }
    return late.length > 0;
  }

  /** Starts what can start; called whenever room, workers or tasks have changed. */
  review(): void {
    if (this.isReviewing || this.stop.signal.aborted) {
      return;
    }
    this.isReviewing = true;
    let blocked = 0;
    for (const task of this.waiting.list()) {
      if (blocked >= maxBlocked) {
        break;
      }
      blocked += this.tryStart(task) ? 0 : 1;
    }
    this.isReviewing = false;
    if (this.waiting.size > 0) {
      void this.reviewLater();
    }
  }

  close(): void {
    this.stop.abort();
  }

  private async reviewLater(): Promise<void> {
    if (this.isReviewPlanned) {
      return;
    }
    this.isReviewPlanned = true;
    await this.options.clock.sleep(reviewPeriodMs, this.stop.signal);
    this.isReviewPlanned = false;
    this.review();
  }

  /** @returns whether the task no longer waits */
  private tryStart(task: BatchedTask): boolean {
    const { clock, random, workers, farRackFactor } = this.options;
    const nowMs = clock.nowMs();
    const demand = demandOf(task);
    const fastestMs = workers.fastestMs(task, demand);
    if (fastestMs === undefined) {
      this.waiting.remove(task);
      giveBack(task, 'no worker here is in service for it');
      return true;
    }
    const lastEndAtMs = task.batch.wasOffered ? demand.giveUpAtMs : task.batch.expiresAtMs;
    if (nowMs + fastestMs > lastEndAtMs) {
      this.waiting.remove(task);
      task.batch.end(task, { kind: 'expired', index: task.index });
      return true;
    }
    const chosen = chooseWorker(demand, workers.candidatesFor(task), {
      nowMs,
      farRackFactor,
      random: () => random.next(),
    });
    const canStillBeInTime = nowMs + fastestMs <= demand.objectiveAtMs;
    if (chosen === undefined || (isLate(demand, chosen, nowMs) && canStillBeInTime)) {
      return false;
    }
    this.waiting.remove(task);
    this.start(task, chosen);
    return true;
  }

  private start(task: BatchedTask, { candidate, expectedMs }: RatedCandidate<OwnCandidate>): void {
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
    candidate.worker.start(task, taskName, task.batch.content.needs.resources, expectedMs);
  }
}

/** Ends a task here that runs nowhere; another dispatcher may take it. */
const giveBack = (task: BatchedTask, reason: string): void => {
  const { index, nextRun, failedRuns } = task;
  task.batch.end(task, { kind: 'returned', task: { index, nextRun, failedRuns }, reason });
};
