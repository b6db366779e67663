/**
 * The waiting tasks of one daemon: paying work before trial work, teams by fair shares of slot-time,
 * jobs by least remaining work, tasks by longest expected run time.
 */
import { unreachable } from '../errors/unreachable.js';
import type { CallerClass, Operation } from '../inventory/types.js';
import { TrialCap } from '../limits/trialCap.js';
import { ClassQueue } from './classQueue.js';
import { RunTimeEstimates } from './runTimeEstimates.js';
import type { IsRunnable, QueuedTask, Standing, WaitingTask } from './types.js';

const classOrder: readonly CallerClass[] = ['paying', 'trial'];

/** Where the waiting tasks of a job stand. */
interface JobPlace extends Standing {
  readonly callerId: string;
}

/** Tells the class and team of a caller, if the configuration in force has the caller. */
export type StandingOf = (callerId: string) => Standing | undefined;

export class TaskQueue {
  readonly trialCap = TrialCap.create();
  readonly estimates = RunTimeEstimates.create();
  private readonly classes: Readonly<Record<CallerClass, ClassQueue>> = {
    paying: ClassQueue.create(),
    trial: ClassQueue.create(),
  };
  private readonly places = new Map<string, JobPlace>();
  private readonly running = new Map<WaitingTask, QueuedTask>();
  private standingOf: StandingOf = () => undefined;

  private constructor() {
    // Built by create.
  }

  static create(): TaskQueue {
    return new TaskQueue();
  }

  get size(): number {
    return this.classes.paying.waiting.total + this.classes.trial.waiting.total;
  }

  push(entry: WaitingTask): void {
    const { callerId, jobId, operation } = entry.task;
    const { callerClass, teamId } = this.standingOf(callerId) ?? entry.task;
    this.places.set(jobId, { callerId, callerClass, teamId });
    const expectedMs = this.estimates.expectedMs(operation);
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
  setStandings(standingOf: StandingOf): void {
    this.standingOf = standingOf;
    for (const [jobId, place] of this.places) {
      const standing = standingOf(place.callerId) ?? place;
      if (standing.callerClass !== place.callerClass || standing.teamId !== place.teamId) {
        this.withdraw(jobId).forEach((entry) => this.push(entry));
      }
    }
  }

  /**
   * Takes the next task whose operation can run now.
   *
   * @param canRun - tells whether a free slot fits the operation; asked once for each operation
   * @returns the task, or nothing
   */
  take(canRun: (operation: Operation) => boolean): WaitingTask | undefined {
    const isRunnable = rememberAnswers(canRun);
    for (const callerClass of classOrder) {
      const queued = this.classes[callerClass].take(this.gate(callerClass, isRunnable));
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
    const queued = this.running.get(entry);
    if (queued === undefined) {
      return;
    }
    this.running.delete(entry);
    const { callerClass, teamId } = queued;
    const { operation } = entry.task;
    this.estimates.observe(operation, slotTimeMs);
    this.classes[callerClass].correct(teamId, slotTimeMs - queued.expectedMs);
    if (callerClass === 'trial') {
      this.trialCap.ended(operation);
    }
  }

  /**
   * Lets a task wait again that was taken and certainly did not start.
   *
   * @param entry - the task
   */
  putBack(entry: WaitingTask): void {
    const queued = this.running.get(entry);
    if (queued !== undefined) {
      this.running.delete(entry);
      this.classes[queued.callerClass].correct(queued.teamId, -queued.expectedMs);
      if (queued.callerClass === 'trial') {
        this.trialCap.ended(entry.task.operation);
      }
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
    const place = this.places.get(jobId);
    if (place === undefined) {
      return [];
    }
    this.places.delete(jobId);
    const taken = this.classes[place.callerClass].withdraw(place.teamId, jobId);
    return taken.map(({ entry }) => entry);
  }

  private gate(callerClass: CallerClass, isRunnable: IsRunnable): IsRunnable {
    switch (callerClass) {
      case 'paying':
        return isRunnable;
      case 'trial':
        return (operation) => this.trialCap.mayStart(operation) && isRunnable(operation);
      default:
        return unreachable(callerClass);
    }
  }

  private start(queued: QueuedTask): void {
    const { callerClass, teamId } = queued;
    const { jobId, operation } = queued.entry.task;
    this.running.set(queued.entry, queued);
    if (this.classes[callerClass].team(teamId)?.hasJob(jobId) !== true) {
      this.places.delete(jobId);
    }
    if (callerClass === 'trial') {
      this.trialCap.started(operation);
    }
  }
}

const rememberAnswers = (canRun: IsRunnable): IsRunnable => {
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
