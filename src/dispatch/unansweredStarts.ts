/**
 * Starts that were never answered and are stopped. Each may still be under way: the lifetime that has confirmed the stop
 * refuses it, and a later lifetime knows nothing of that. So the next run of its task starts on the same worker, whose
 * crash ends that run too, and only where the lifetime that is there has confirmed the stop.
 */
import type { Clock } from '../ports/clock.js';
import type { ActiveRun } from './activeRun.js';
import type { WorkerLifetime } from './workerLifetime.js';

/** An order that was never answered is carried out at most this much later, in milliseconds. */
export const maxOrderDelayMs = 10_000;
/** The oldest starts of a worker are forgotten above this number. */
const maxRememberedStarts = 256;

/** Where a run was to start. */
export interface StartTarget {
  readonly workerId: string;
  readonly lifetime: WorkerLifetime;
}

/** A start that was never answered. */
export interface UnansweredStart {
  readonly run: ActiveRun;
  readonly target: StartTarget;
}

/**
 * The worker that alone may run a task, since a start of it may still arrive there. `confirmed`: the lifetime that is known
 * there has confirmed the stop of that start, and refuses it. `unconfirmed`: it may still carry it out.
 */
export interface TaskBinding {
  readonly kind: 'confirmed' | 'unconfirmed';
  readonly workerId: string;
}

interface Entry extends UnansweredStart {
  /** The lifetime that has confirmed the stop last; undefined before. */
  confirmedBy: { readonly startedAtMs: number | undefined } | undefined;
}

export class UnansweredStarts {
  /** The oldest first. */
  private readonly byWorker = new Map<string, readonly Entry[]>();
  /** The latest one of each task. */
  private readonly byTask = new Map<string, Entry>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): UnansweredStarts {
    return new UnansweredStarts(clock);
  }

  /** Remembers the start of a run that is to be stopped, unless the worker has answered it. */
  remember(run: ActiveRun, target: StartTarget): void {
    const { workerId } = target;
    if (run.startedAtMs !== undefined || this.find(run, workerId) !== undefined) {
      return;
    }
    const entry: Entry = { run, target, confirmedBy: undefined };
    this.keep(workerId, [...this.listOpen(workerId), entry].slice(-maxRememberedStarts));
    if (this.bindingOf(run.taskName) === undefined) {
      this.byTask.set(run.taskName, entry);
    } else {
      // The worker answers no start of the task, so that it would wait there for ever.
      this.byTask.delete(run.taskName);
    }
  }

  /** Forgets a start that its worker has answered. */
  forget(run: ActiveRun, workerId: string): void {
    this.keep(
      workerId,
      this.listOpen(workerId).filter((entry) => entry.run !== run),
    );
  }

  /** Forgets the starts of a worker whose orders reach nobody, or that another daemon dispatches to. */
  forgetWorker(workerId: string): void {
    this.keep(workerId, []);
  }

  /** Records that a lifetime of the worker has confirmed the stop of a run. */
  recordConfirmed(run: ActiveRun, workerId: string, startedAtMs: number | undefined): void {
    const entry = this.find(run, workerId);
    if (entry !== undefined) {
      entry.confirmedBy = { startedAtMs };
    }
  }

  /** Lists the starts at a worker whose stop the lifetime that is known there has not confirmed. */
  listUnconfirmed(workerId: string): readonly UnansweredStart[] {
    return this.listOpen(workerId).filter((entry) => !isConfirmed(entry));
  }

  /** Finds the worker that alone may run a task, if there is one. */
  bindingOf(taskName: string): TaskBinding | undefined {
    const entry = this.byTask.get(taskName);
    return entry === undefined || !this.isOpen(entry)
      ? undefined
      : {
          kind: isConfirmed(entry) ? 'confirmed' : 'unconfirmed',
          workerId: entry.target.workerId,
        };
  }

  private find(run: ActiveRun, workerId: string): Entry | undefined {
    return this.byWorker.get(workerId)?.find((entry) => entry.run === run);
  }

  private listOpen(workerId: string): readonly Entry[] {
    return (this.byWorker.get(workerId) ?? []).filter((entry) => this.isOpen(entry));
  }

  /** Whether a start may still arrive: it was not answered, and was sent a short while ago. */
  private isOpen({ run: { startedAtMs, startSentAtMs } }: Entry): boolean {
    return startedAtMs === undefined && this.clock.nowMs() - startSentAtMs <= maxOrderDelayMs;
  }

  /** Replaces the starts at a worker, and forgets those that are no longer among them. */
  private keep(workerId: string, entries: readonly Entry[]): void {
    for (const entry of this.byWorker.get(workerId) ?? []) {
      const { taskName } = entry.run;
      if (!entries.includes(entry) && this.byTask.get(taskName) === entry) {
        this.byTask.delete(taskName);
      }
    }
    if (entries.length === 0) {
      this.byWorker.delete(workerId);
    } else {
      this.byWorker.set(workerId, entries);
    }
  }
}

const isConfirmed = ({ confirmedBy, target: { lifetime } }: Entry): boolean =>
  confirmedBy !== undefined && confirmedBy.startedAtMs === lifetime.startedAtMs;
