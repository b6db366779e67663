/**
 * The waiting tasks of one daemon: paying work before trial work, teams by fair shares of slot-time,
 * jobs by least remaining work, tasks by longest expected run time.
 */
import { unreachable } from '../errors/unreachable.js';
import type { CallerClass, Operation } from '../types/inventory.js';
import type { TimedLimit } from '../limits/quotaGate.js';
import { TrialCap } from '../limits/trialCap.js';
import { RunTimes } from '../placement/runTimes.js';
import type { Clock } from '../ports/clock.js';
import { ClassQueue } from './classQueue.js';
import { QuotaThrottle } from './quotaParking.js';
import type { IsRunnable, QueuedTask, Standing, WaitingTask } from './types.js';

/** Marks the team of tasks that a peer passed here; their quota is counted at the peer. */
const offloadedSuffix = ' (passed)';

const classesByPriority: readonly CallerClass[] = ['paying', 'trial'];

/** Where the waiting tasks of a job stand. */
interface JobLocation extends Standing {
  readonly callerId: string;
  readonly isOffloaded: boolean;
}

/** Tells the class and team of a caller, if the configuration in force has the caller. */
export type FindCallerGroup = (callerId: string) => Standing | undefined;

export class TaskQueue {
  readonly trialCap = TrialCap.create();
  private readonly classes: Readonly<Record<CallerClass, ClassQueue>> = {
    paying: ClassQueue.create(),
    trial: ClassQueue.create(),
  };
  private readonly jobLocations = new Map<string, JobLocation>();
  private readonly running = new Map<WaitingTask, QueuedTask>();
  private findCallerGroup: FindCallerGroup = () => undefined;

  /** Keeps teams within their quotas. */
  readonly quotas: QuotaThrottle;

  private constructor(
    clock: Clock,
    /** Gives the slot-time that a task is expected to take. */
    readonly runTimes: RunTimes,
  ) {
    this.quotas = QuotaThrottle.create(clock, Object.values(this.classes));
  }

  static create(clock: Clock, runTimes = RunTimes.create()): TaskQueue {
    return new TaskQueue(clock, runTimes);
  }

  get size(): number {
    return this.classes.paying.waiting.total + this.classes.trial.waiting.total;
  }

  push(entry: WaitingTask): void {
    const { callerId, jobId, operation, isOffloaded: isPassed = false } = entry.task;
    const { callerClass, teamId } = groupFor(
      this.findCallerGroup(callerId) ?? entry.task,
      isPassed,
    );
    this.jobLocations.set(jobId, { callerId, callerClass, teamId, isOffloaded: isPassed });
    const expectedMs = this.runTimes.typicalMs(operation);
    this.classes[callerClass].push({ entry, expectedMs, callerClass, teamId });
  }

  /** @returns the waiting work of one class */
  waitingOf(callerClass: CallerClass): ClassQueue {
    return this.classes[callerClass];
  }

  /**
   * Moves the waiting jobs of callers whose class or team has changed; what runs stays as it is.
   *
   * @param standingOf - tells class and team by the configuration in force
   */
  setStandings(standingOf: FindCallerGroup): void {
    this.findCallerGroup = standingOf;
    for (const [jobId, before] of [...this.jobLocations]) {
      const standing = standingOf(before.callerId);
      const after = standing === undefined ? before : groupFor(standing, before.isOffloaded);
      if (after.callerClass !== before.callerClass || after.teamId !== before.teamId) {
        this.withdraw(jobId).forEach((entry) => this.push(entry));
      }
    }
  }

  /**
   * Sets what a team with a quota may use, also for its waiting work.
   *
   * @param teamId - the team
   * @param timed - its limit on this daemon, or nothing without quota
   */
  setQuota(teamId: string, timed: TimedLimit | undefined): void {
    const isNew = this.quotas.gate.limitOf(teamId) === undefined;
    this.quotas.setLimit(teamId, timed, isNew ? this.countRunning(teamId) : 0);
  }

  /** @returns tasks of a team that wait, of both classes */
  waitingOfTeam(teamId: string): number {
    return classesByPriority.reduce(
      (sum, callerClass) => sum + (this.classes[callerClass].team(teamId)?.waiting.total ?? 0),
      0,
    );
  }

  /**
   * Calls a listener when a team that its quota kept back may start tasks again.
   *
   * @param listener - the listener
   */
  onUnthrottle(listener: () => void): void {
    this.quotas.onUnthrottle(listener);
  }

  close(): Promise<void> {
    return this.quotas.close();
  }

  /**
   * Takes the next task whose operation can run now.
   *
   * @param canRun - tells whether a free slot fits the operation; asked once for each operation
   * @returns the task, or nothing
   */
  take(canRun: (operation: Operation) => boolean): WaitingTask | undefined {
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
   * Notes that a task which was taken has left its slot.
   *
   * @param entry - the task
   * @param slotTimeMs - how long it held the slot, in milliseconds
   */
  ended(entry: WaitingTask, slotTimeMs: number): void {
    const queued = this.releaseSlot(entry, slotTimeMs);
    if (queued !== undefined) {
      this.quotas.ended(queued.teamId);
    }
  }

  /**
   * Lets a task wait again that was taken and certainly did not start.
   *
   * @param entry - the task
   */
  putBack(entry: WaitingTask): void {
    const queued = this.releaseSlot(entry, 0);
    if (queued !== undefined) {
      this.quotas.undoStart(queued.teamId);
    }
    this.push(entry);
  }

  /**
   * Takes out every waiting task of a job, without a look at any other job.
   *
   * @param jobId - the job
   * @returns the tasks taken out
   */
  withdraw(jobId: string): WaitingTask[] {
    const known = this.jobLocations.get(jobId);
    if (known === undefined) {
      return [];
    }
    this.jobLocations.delete(jobId);
    const taken = this.classes[known.callerClass].withdraw(known.teamId, jobId);
    return taken.map(({ entry }) => entry);
  }

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

  /** Takes a task out of those that hold a slot, and charges its team the true slot-time. */
  private releaseSlot(entry: WaitingTask, slotTimeMs: number): QueuedTask | undefined {
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

/** Tasks that a peer passed here make a team of their own. */
const groupFor = ({ callerClass, teamId }: Standing, isPassed: boolean): Standing => ({
  callerClass,
  teamId: isPassed ? `${teamId}${offloadedSuffix}` : teamId,
});

const memoizeAnswers = (canRun: IsRunnable): IsRunnable => {
  const answers = new Map<Operation, boolean>();
  return (operation) => {
    const known = answers.get(operation);
    if (known !== undefined) {
      return known;
    }
    const answer = canRun(operation);
    answers.set(operation, answer);
    return answer;
  };
};
