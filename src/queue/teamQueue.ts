/**
 * Orders the waiting jobs of one team in one class: least remaining work first, with ageing.
 */
import { OperationCounts } from './operationCounts.js';
import { OperationIndex } from './operationIndex.js';
import type { IsRunnable, QueuedTask } from './types.js';
import { WaitingJob } from './waitingJob.js';

export class TeamQueue {
  /** Slot-time charged to the team, in milliseconds; the team with the least goes next. */
  chargedMs = 0;
  /** Counts of the waiting tasks. */
  readonly waiting = OperationCounts.create();
  private readonly jobs = new Map<string, WaitingJob>();
  private readonly jobsByOperation = OperationIndex.create<WaitingJob>();
  /** Expected slot-time of the tasks taken so far, in milliseconds. */
  private servedMs = 0;

  private constructor(readonly teamId: string) {}

  static create(teamId: string): TeamQueue {
    return new TeamQueue(teamId);
  }

  /** Number of jobs with waiting tasks. */
  get waitingJobs(): number {
    return this.jobs.size;
  }

  /** Returns whether a job has waiting tasks. */
  hasJob(jobId: string): boolean {
    return this.jobs.has(jobId);
  }

  push(queued: QueuedTask): void {
    const { jobId, operation } = queued.entry.task;
    const job = this.jobs.get(jobId) ?? WaitingJob.create(jobId, this.servedMs);
    this.jobs.set(jobId, job);
    job.push(queued);
    this.jobsByOperation.add(job, operation, job.keyMs);
    this.jobsByOperation.updateKey(job, job.keyMs);
    this.waiting.add(operation, 1);
  }

  /**
   * Takes the next task whose operation can run now.
   *
   * @param isRunnable - returns whether an operation can run
   * @returns the task, or undefined if none can run
   */
  takeNext(isRunnable: IsRunnable): QueuedTask | undefined {
    const job = this.jobsByOperation.findFirst(isRunnable);
    const queued = job?.takeNext(isRunnable);
    if (job === undefined || queued === undefined) {
      return undefined;
    }
    const { operation } = queued.entry.task;
    if (!job.has(operation)) {
      this.jobsByOperation.delete(job, operation);
    }
    this.jobsByOperation.updateKey(job, job.keyMs);
    if (job.isEmpty) {
      this.jobs.delete(job.jobId);
    }
    this.waiting.add(operation, -1);
    this.servedMs += queued.expectedMs;
    return queued;
  }

  /**
   * Removes every waiting task of a job.
   *
   * @param jobId - the job
   * @returns the removed tasks
   */
  withdraw(jobId: string): QueuedTask[] {
    const job = this.jobs.get(jobId);
    if (job === undefined) {
      return [];
    }
    this.jobs.delete(jobId);
    this.jobsByOperation.deleteAll(job);
    const removed = job.list();
    removed.forEach(({ entry }) => this.waiting.add(entry.task.operation, -1));
    return removed;
  }
}
