/**
 * Decides what follows for a task when a run of it has ended: its end, another run, or that it is given up
 * since its workers crash.
 */
import { unreachable } from '../errors/unreachable.js';
import type { Logger } from '../ports/logger.js';
import { highestCounts, maxCrashedWorkers } from './crashSuspects.js';
import type { CrashSuspects } from './crashSuspects.js';
import type { LapsedRuns } from './lapsedRuns.js';
import type { BatchedTask } from './openBatch.js';
import { consequenceOf } from './runEvidence.js';
import type { RunEvidence, TaskConsequence } from './runEvidence.js';
import { taskNameOf } from './taskNames.js';
import type { TaskStarter } from './taskStarter.js';

/** Run numbers that are skipped when a worker has already ended a run with the next number. */
const runNumberSkip = 8;

export interface TaskRetriesOptions {
  readonly logger: Logger;
  readonly starter: TaskStarter;
  readonly suspects: CrashSuspects;
  readonly lapsedRuns: LapsedRuns;
}

/** The worker of a run that has ended. */
export interface RunWorker {
  readonly workerId: string;
  /** Slowdown factor of the worker before this run was observed. */
  readonly slowness: number;
}

export class TaskRetries {
  private constructor(private readonly options: TaskRetriesOptions) {}

  static create(options: TaskRetriesOptions): TaskRetries {
    return new TaskRetries(options);
  }

  /** Queues a new task, unless it is known to crash its workers. */
  enqueueNew(task: BatchedTask): void {
    this.enqueueOrFail(task);
  }

  /**
   * Counts a lost worker under a task. A task whose job has ended is counted as well, since its job may be
   * submitted again.
   */
  recordLostWorker(task: BatchedTask): void {
    this.updateCounts(task);
    task.lostWorkers += 1;
    this.announce(task);
  }

  /** Counts a lost worker that is proved to have crashed; tasks that wait under this name may be given up. */
  recordCrash(task: BatchedTask): void {
    const { starter } = this.options;
    this.updateCounts(task);
    task.crashedWorkers += 1;
    this.announce(task);
    const taskName = taskNameOf(task);
    for (const waiting of starter.listWaiting()) {
      if (taskNameOf(waiting) === taskName) {
        starter.remove(waiting);
        this.enqueueOrFail(waiting);
      }
    }
  }

  /**
   * Whether a task waits until it is known whether the workers that were silent under it have crashed, since
   * it would be given up if they have.
   */
  awaitsProof(task: BatchedTask): boolean {
    const awaited = this.options.lapsedRuns.countAwaited(taskNameOf(task));
    return awaited > 0 && task.crashedWorkers + awaited >= maxCrashedWorkers;
  }

  /** Ends the task of a run, or queues it for another run if what is known of the run allows it. */
  endOrRetry(task: BatchedTask, evidence: RunEvidence, worker: RunWorker): void {
    const { batch, index } = task;
    const consequence = consequenceOf(evidence);
    switch (consequence.kind) {
      case 'done': {
        const lengthMs = Math.round(consequence.runTimeMs / worker.slowness);
        batch.end(task, { kind: 'done', index, lengthMs });
        return;
      }
      case 'rejected':
        batch.end(task, { kind: 'failed', index, reason: consequence.reason });
        return;
      case 'must-not-start':
        batch.end(task, { kind: 'withdrawn', index });
        return;
      case 'may-start':
        this.retry(task, consequence.why, worker);
        return;
      default:
        return unreachable(consequence);
    }
  }

  private retry(
    task: BatchedTask,
    why: Extract<TaskConsequence, { kind: 'may-start' }>['why'],
    { workerId }: RunWorker,
  ): void {
    switch (why) {
      case 'number-used':
        task.nextRun += runNumberSkip;
        break;
      case 'run-failed':
        task.failedRuns += 1;
        task.avoidedWorkerIds.add(workerId);
        break;
      case 'run-ended':
        task.avoidedWorkerIds.add(workerId);
        break;
      default:
        return unreachable(why);
    }
    this.enqueueOrFail(task);
    this.options.starter.startReadyTasks();
  }

  /** Queues a task for a run, unless it has failed too often or too many workers have crashed under it. */
  private enqueueOrFail(task: BatchedTask): void {
    this.updateCounts(task);
    const { batch, index, failedRuns, crashedWorkers } = task;
    if (failedRuns >= batch.content.maxFailedRuns) {
      batch.end(task, { kind: 'failed', index, reason: `${failedRuns} runs failed` });
      return;
    }
    if (crashedWorkers >= maxCrashedWorkers) {
      this.options.logger.warn('A task is given up, since its workers crash.', {
        taskName: taskNameOf(task),
        count: crashedWorkers,
      });
      batch.end(task, { kind: 'failed', index, reason: 'its workers crash' });
      return;
    }
    this.options.starter.enqueue(task);
  }

  /** Takes over what is known of the task by its name, also from an earlier submission of its job. */
  private updateCounts(task: BatchedTask): void {
    const counts = highestCounts(this.options.suspects.countsOf(taskNameOf(task)), task);
    task.lostWorkers = counts.lostWorkers;
    task.crashedWorkers = counts.crashedWorkers;
  }

  private announce(task: BatchedTask): void {
    const { lostWorkers, crashedWorkers } = task;
    this.options.suspects.recordOwn({ taskName: taskNameOf(task), lostWorkers, crashedWorkers });
  }
}
