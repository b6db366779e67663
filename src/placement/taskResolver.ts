/**
 * Resolves the outcome of a task after an attempt or an offload, or queues the task for another
 * attempt.
 */
import { unreachable } from '../errors/unreachable.js';
import type { OffloadEnd } from '../offloading/offloadBatch.js';
import type { TaskQueue } from '../queue/taskQueue.js';
import type { PendingTask } from '../queue/types.js';
import { RecentNames } from '../utils/recentNames.js';
import { stoppedBeforeStart } from './attemptRunner.js';
import type { AttemptEnd } from './attemptRunner.js';
import type { EndpointPool } from './endpointPool.js';
import type { PooledEndpoint } from './pooledEndpoint.js';
import { RetryBudget } from './retryBudget.js';
import { decideAfterAttempt, decideAfterOffload } from './retryDecision.js';
import type { RetryDecision } from './retryDecision.js';

/** Number of ended jobs to remember, so that a task which comes back late is not queued again. */
const maxEndedJobs = 4_096;

export interface TaskResolverOptions {
  readonly queue: TaskQueue;
  readonly pool: EndpointPool;
  /** Starts waiting tasks; called after a task was queued again. */
  readonly dispatch: () => void;
}

export class TaskResolver {
  private readonly retryBudget = RetryBudget.create();
  private readonly endedJobs = RecentNames.create(maxEndedJobs);

  private constructor(private readonly options: TaskResolverOptions) {}

  static create(options: TaskResolverOptions): TaskResolver {
    return new TaskResolver(options);
  }

  /**
   * Records the first attempt of a task.
   *
   * @param retryShare - retries allowed per first attempt, between 0 and 1
   */
  recordFirstAttempt(retryShare: number): void {
    this.retryBudget.recordFirstAttempt(retryShare);
  }

  /** Records that a job has ended: none of its tasks is queued again. */
  recordJobEnd(jobId: string): void {
    this.endedJobs.add(jobId);
  }

  /** Records the end of an attempt, and answers its task or queues it again. */
  afterAttempt(entry: PendingTask, pooled: PooledEndpoint, end: AttemptEnd): void {
    const { queue, pool } = this.options;
    const { operation } = entry.task;
    if (end.kind === 'replied' && end.reply.kind === 'not-started') {
      this.requeue(entry);
      return;
    }
    queue.ended(entry, end.kind === 'past-deadline' ? 0 : end.elapsedMs);
    if (end.kind === 'replied' && end.reply.kind === 'done') {
      pool.recordRunTime(pooled, operation, end.elapsedMs);
    }
    this.applyDecision(entry, decideAfterAttempt(operation, end));
  }

  /** Records the end of an offloaded task at its peer, and answers the task or queues it again. */
  afterOffload(entry: PendingTask, end: OffloadEnd): void {
    if (end.kind === 'not-started') {
      this.requeue(entry);
      return;
    }
    this.options.queue.ended(entry, end.kind === 'ended' ? end.elapsedMs : 0);
    this.applyDecision(entry, decideAfterOffload(entry.task.operation, end));
    this.options.dispatch();
  }

  /** Returns a taken task to the queue; the start token of its team's quota is not refunded. */
  putBack(entry: PendingTask): void {
    this.options.queue.ended(entry, 0);
    this.options.queue.push(entry);
  }

  /** Queues a task for another attempt, unless its job has ended meanwhile. */
  private requeue(entry: PendingTask): void {
    if (this.endedJobs.has(entry.task.jobId)) {
      this.options.queue.ended(entry, 0);
      entry.outcome.resolve(stoppedBeforeStart());
      return;
    }
    this.putBack(entry);
    this.options.dispatch();
  }

  private applyDecision(entry: PendingTask, decision: RetryDecision): void {
    switch (decision.kind) {
      case 'answered':
        entry.outcome.resolve(decision.outcome);
        return;
      case 'not-started':
        this.requeue(entry);
        return;
      case 'repeatable':
        if (this.retryBudget.tryTakeRetry()) {
          this.requeue(entry);
          return;
        }
        entry.outcome.resolve(decision.outcomeWithoutRetry);
        return;
      default:
        return unreachable(decision);
    }
  }
}
