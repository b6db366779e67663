/**
 * Decides what follows for a task when a run of it has ended: its end, another run, or that it is not started again
 * since it may have crashed its workers.
 */
import { unreachable } from '../errors/unreachable.js';
import type { Logger } from '../ports/logger.js';
import type { DoubtedStarts } from './doubtedStarts.js';
import type { CrashSuspects } from './crashSuspects.js';
import {
  consequenceOfLosses,
  countLosses,
  countsEveryStart,
  hasLosses,
  isDecidedByAwaited,
  joinLosses,
} from './taskLosses.js';
import type { TaskLoss } from '../types/losses.js';
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
  readonly doubts: DoubtedStarts;
  /** Whether only this worker may run a task. */
  readonly isBoundTo: (task: BatchedTask, workerId: string) => boolean;
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

  /** Queues a new task, unless it may have crashed too many workers. */
  enqueueNew(task: BatchedTask): void {
    this.enqueueOrEnd(task);
  }

  /**
   * Records a loss of a worker under a task, or what it has turned out to be. A task whose job has ended is recorded as
   * well, since its job may be submitted again.
   */
  recordLoss(task: BatchedTask, loss: TaskLoss): void {
    const taskName = taskNameOf(task);
    this.options.suspects.recordOwn(taskName, loss);
    this.updateLosses(task);
    this.judgeWaiting(taskName);
  }

  /** Counts a start that has crashed no worker, if every start of its task counts by now. */
  recordStart(task: BatchedTask, lossId: string): void {
    if (countsEveryStart(this.options.suspects.lossesOf(taskNameOf(task)))) {
      this.recordLoss(task, { id: lossId, status: 'none' });
    }
  }

  /** Ends the tasks that wait under a name, if they may not start again. */
  judgeWaiting(taskName: string): void {
    const { starter, suspects } = this.options;
    if (consequenceOfLosses(suspects.lossesOf(taskName)) === 'may-start') {
      return;
    }
    for (const waiting of starter.listWaiting()) {
      if (taskNameOf(waiting) === taskName) {
        starter.remove(waiting);
        this.enqueueOrEnd(waiting);
      }
    }
  }

  /**
   * Whether a task waits: a start of it may still be carried out, or the workers that were silent under it have to answer,
   * since it may not be started again if they have crashed.
   */
  awaitsProof(task: BatchedTask): boolean {
    this.updateLosses(task);
    return this.options.doubts.isDoubted(taskNameOf(task)) || isDecidedByAwaited(task.losses);
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
        batch.end(task, { kind: 'withdrawn', index, reason: consequence.reason });
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
        if (!this.options.isBoundTo(task, workerId)) {
          task.avoidedWorkerIds.add(workerId);
        }
        break;
      default:
        return unreachable(why);
    }
    this.enqueueOrEnd(task);
    this.options.starter.startReadyTasks();
  }

  /** Queues a task for a run, unless it has failed too often or may have crashed too many workers. */
  private enqueueOrEnd(task: BatchedTask): void {
    const { logger, starter } = this.options;
    this.updateLosses(task);
    const { batch, index, failedRuns, losses } = task;
    if (failedRuns >= batch.content.maxFailedRuns) {
      batch.end(task, { kind: 'failed', index, reason: `${failedRuns} runs failed` });
      return;
    }
    const consequence = consequenceOfLosses(losses);
    const taskName = taskNameOf(task);
    switch (consequence) {
      case 'may-start':
        starter.enqueue(task);
        return;
      case 'may-crash-workers':
        logger.warn('A task is not started again, since it may have crashed its workers.', {
          taskName,
          count: countLosses(losses).unclearLosses,
        });
        batch.end(task, { kind: 'withdrawn', index, reason: 'it may have crashed its workers' });
        return;
      default:
        return unreachable(consequence);
    }
  }

  /** Takes over what is known of the task by its name, also from an earlier submission of its job. */
  private updateLosses(task: BatchedTask): void {
    const { suspects } = this.options;
    const taskName = taskNameOf(task);
    if (hasLosses(task.losses)) {
      suspects.recordStated(taskName, task.losses);
    }
    if (suspects.has(taskName)) {
      task.losses = joinLosses(task.losses, suspects.lossesOf(taskName));
    }
  }
}
