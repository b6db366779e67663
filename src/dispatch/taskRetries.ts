/**
 * Decides what follows for a task when a run of it has ended: its end, another run, or that it is given up
 * since its workers crash.
 */
import { unreachable } from '../errors/unreachable.js';
import type { Logger } from '../ports/logger.js';
import { maxLostWorkers } from './crashSuspects.js';
import type { CrashSuspects } from './crashSuspects.js';
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
    const known = this.options.suspects.lostWorkersUnder(taskNameOf(task));
    task.lostWorkers = Math.max(task.lostWorkers, known);
    this.enqueueOrFail(task);
  }

  /**
   * Counts a lost worker under a task. A task whose job has ended is counted as well, since its job may be
   * submitted again.
   */
  recordLostWorker(task: BatchedTask): void {
    task.lostWorkers += 1;
    const { lostWorkers } = task;
    this.options.suspects.recordOwn({ taskName: taskNameOf(task), lostWorkers });
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

  /** Queues a task for a run, unless it has failed too often or too many workers were lost under it. */
  private enqueueOrFail(task: BatchedTask): void {
    const { batch, index, failedRuns, lostWorkers } = task;
    if (failedRuns >= batch.content.maxFailedRuns) {
      batch.end(task, { kind: 'failed', index, reason: `${failedRuns} runs failed` });
      return;
    }
    if (lostWorkers >= maxLostWorkers) {
      this.options.logger.warn('A task is given up, since its workers crash.', {
        taskName: taskNameOf(task),
        count: lostWorkers,
      });
      batch.end(task, { kind: 'failed', index, reason: 'its workers crash' });
      return;
    }
    this.options.starter.enqueue(task);
  }
}
