/**
 * Orders the waiting tasks of one daemon: paying work before trial work, teams by fair shares of
 * slot-time, jobs by least remaining work, tasks by longest expected run time.
 */
import { unreachable } from '../errors/unreachable.js';
import type { CallerClass, Operation } from '../types/inventory.js';
import type { TimedLimit } from '../limits/quotaLimiter.js';
import { TrialCap } from '../limits/trialCap.js';
import { RunTimes } from '../placement/runTimes.js';
import type { Clock } from '../ports/clock.js';
import { ClassQueue } from './classQueue.js';
import { groupFor } from './jobLocation.js';
import type { JobLocation } from './jobLocation.js';
import { memoizeAnswers } from './memoizeAnswers.js';
import { QuotaThrottle } from './quotaThrottle.js';
import type { IsRunnable, QueuedTask, CallerGroup, PendingTask } from './types.js';

/** Classes in the order in which they are served. */
const classesByPriority: readonly CallerClass[] = ['paying', 'trial'];

/** Returns class and team of a caller, or undefined if the configuration does not list it. */
export type FindCallerGroup = (callerId: string) => CallerGroup | undefined;

export class TaskQueue {
  /** Limits the slots that trial work takes. */
  readonly trialCap = TrialCap.create();
  private readonly classes: Readonly<Record<CallerClass, ClassQueue>> = {
    paying: ClassQueue.create(),
    trial: ClassQueue.create(),
  };
  /** By job id; only jobs with waiting tasks. */
  private readonly jobLocations = new Map<string, JobLocation>();
  /** Tasks that were taken and have not left their slot, here or at a peer. */
  private readonly running = new Map<PendingTask, QueuedTask>();
  private findCallerGroup: FindCallerGroup = () => undefined;

  /** Keeps teams within their quotas. */
  readonly quotas: QuotaThrottle;

  private constructor(
    clock: Clock,
    /** Estimates the slot-time of tasks. */
    readonly runTimes: RunTimes,
  ) {
    this.quotas = QuotaThrottle.create(clock, Object.values(this.classes));
  }

  static create(clock: Clock, runTimes = RunTimes.create()): TaskQueue {
    return new TaskQueue(clock, runTimes);
  }

  /** Number of waiting tasks, of all classes. */
  get size(): number {
    return this.classes.paying.waiting.total + this.classes.trial.waiting.total;
  }

  /** Adds a task under the class and team that its caller has now. */
  push(entry: PendingTask): void {
    const { callerId, jobId, operation, isOffloaded = false } = entry.task;
    const { callerClass, teamId } = groupFor(
      this.findCallerGroup(callerId) ?? entry.task,
      isOffloaded,
    );
    this.jobLocations.set(jobId, { callerId, callerClass, teamId, isOffloaded });
    const expectedMs = this.runTimes.typicalMs(operation);
    this.classes[callerClass].push({ entry, expectedMs, callerClass, teamId });
  }

  /** Returns the waiting work of one class. */
  classQueueOf(callerClass: CallerClass): ClassQueue {
    return this.classes[callerClass];
  }

  /**
   * Sets the class and team of callers, and moves the waiting jobs of those that changed. Running
   * tasks stay under the class and team under which they were taken.
   *
   * @param findCallerGroup - returns class and team by the configuration in force
   */
  setCallerGroups(findCallerGroup: FindCallerGroup): void {
    this.findCallerGroup = findCallerGroup;
    for (const [jobId, before] of [...this.jobLocations]) {
      const callerGroup = findCallerGroup(before.callerId);
      const after = callerGroup === undefined ? before : groupFor(callerGroup, before.isOffloaded);
      if (after.callerClass !== before.callerClass || after.teamId !== before.teamId) {
        this.withdraw(jobId).forEach((entry) => this.push(entry));
      }
    }
  }

  /**
   * Sets the quota of a team. It applies to tasks that wait already, too.
   *
   * @param teamId - the team
   * @param timed - its limit on this daemon, or undefined for a team without quota
   */
  setQuota(teamId: string, timed: TimedLimit | undefined): void {
    const isNew = this.quotas.limiter.limitOf(teamId) === undefined;
    this.quotas.setLimit(teamId, timed, isNew ? this.countRunning(teamId) : 0);
  }

  /** Returns the number of waiting tasks of a team, of all classes. */
  countWaitingOfTeam(teamId: string): number {
    return classesByPriority.reduce(
      (sum, callerClass) => sum + (this.classes[callerClass].team(teamId)?.waiting.total ?? 0),
      0,
    );
  }

  /**
   * Registers a listener that is called when a team throttled by its quota may start tasks again.
   *
   * @param listener - the listener
   */
  onUnthrottle(listener: () => void): void {
    this.quotas.onUnthrottle(listener);
  }

  /** Ends the timers of the quotas. */
  close(): Promise<void> {
    return this.quotas.close();
  }

  /**
   * Takes the next task whose operation can run now, and counts it as running.
   *
   * @param canRun - returns whether a free slot fits the operation; called at most once for each
   *   operation
   * @returns the task, or undefined if none can run
   */
  takeNext(canRun: (operation: Operation) => boolean): PendingTask | undefined {
    const isRunnable = memoizeAnswers(canRun);
    for (const callerClass of classesByPriority) {
      const queued = this.classes[callerClass].takeNext(
        this.applyTrialCap(callerClass, isRunnable),
      );
      if (queued !== undefined) {
        this.start(queued);
        return queued.entry;
      }
    }
    return undefined;
  }

  /**
   * Records that a task which was taken has left its slot, and charges its team the true slot-time.
   *
   * @param entry - the task
   * @param slotTimeMs - how long it held the slot, in milliseconds
   */
  ended(entry: PendingTask, slotTimeMs: number): void {
    const queued = this.releaseSlot(entry, slotTimeMs);
    if (queued !== undefined) {
      this.quotas.ended(queued.teamId);
    }
  }

  /**
   * Removes every waiting task of a job. The cost does not depend on the tasks of other jobs.
   *
   * @param jobId - the job
   * @returns the removed tasks
   */
  withdraw(jobId: string): PendingTask[] {
    const location = this.jobLocations.get(jobId);
    if (location === undefined) {
      return [];
    }
    this.jobLocations.delete(jobId);
    const removed = this.classes[location.callerClass].withdraw(location.teamId, jobId);
    return removed.map(({ entry }) => entry);
  }

  /** Restricts trial work to operations for which the trial cap allows one more task. */
  private applyTrialCap(callerClass: CallerClass, isRunnable: IsRunnable): IsRunnable {
    switch (callerClass) {
      case 'paying':
        return isRunnable;
      case 'trial':
        return (operation) => this.trialCap.mayStart(operation) && isRunnable(operation);
      default:
        return unreachable(callerClass);
    }
  }

  /** Removes a task from the running ones, and charges its team the true slot-time. */
  private releaseSlot(entry: PendingTask, slotTimeMs: number): QueuedTask | undefined {
    const queued = this.running.get(entry);
    if (queued === undefined) {
      return undefined;
    }
    this.running.delete(entry);
    const { callerClass, teamId, expectedMs } = queued;
    this.classes[callerClass].correctCharge(teamId, slotTimeMs - expectedMs);
    if (callerClass === 'trial') {
      this.trialCap.ended(entry.task.operation);
    }
    return queued;
  }

  /** Records that a task was taken, for the trial cap and the quota of its team. */
  private start(queued: QueuedTask): void {
    const { callerClass, teamId } = queued;
    const { jobId, operation } = queued.entry.task;
    this.running.set(queued.entry, queued);
    if (this.classes[callerClass].team(teamId)?.hasJob(jobId) !== true) {
      this.jobLocations.delete(jobId);
    }
    if (callerClass === 'trial') {
      this.trialCap.started(operation);
    }
    this.quotas.started(teamId);
  }

  private countRunning(teamId: string): number {
    return [...this.running.values()].filter((queued) => queued.teamId === teamId).length;
  }
}
