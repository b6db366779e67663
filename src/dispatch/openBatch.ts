/**
 * A batch that this daemon runs: its tasks and how they have ended so far. It is kept for some time
 * after its end, to answer repeated requests.
 */
import { createDeferred } from '../utils/deferred.js';
import type { Batch, TaskEnd } from '../types/dispatch.js';
import { fromStatedLosses } from './taskLosses.js';
import type { TaskLosses } from './taskLosses.js';

/** A task of a batch and the state of its runs. */
export interface BatchedTask {
  readonly batch: OpenBatch;
  /** Position of the task in its step. */
  readonly index: number;
  /** Number of the next run. */
  nextRun: number;
  /** Runs that have failed so far, on other dispatchers too. */
  failedRuns: number;
  /** Workers that were silent or crashed while they ran it, on other dispatchers too. */
  losses: TaskLosses;
  /** Workers on which a run failed, was lost or did not start; they get no further run of it. */
  readonly avoidedWorkerIds: Set<string>;
  hasEnded: boolean;
}

/** By when the runs of a batch have to have ended, unless its requester confirms it again. */
export interface Confirmation {
  /** When the requester was last known to wait for the batch, in monotonic time. */
  readonly confirmedAtMs: number;
  /** Time for which runs may go on after that. */
  readonly confirmationMs: number;
}

const lastingConfirmation: Confirmation = { confirmedAtMs: 0, confirmationMs: Infinity };

export class OpenBatch {
  readonly tasks: readonly BatchedTask[];
  /** When the tasks should have ended, in monotonic time. */
  readonly objectiveAtMs: number;
  /** When the result becomes worthless, in monotonic time. */
  readonly giveUpAtMs: number;
  /** Deadline that replaces `giveUpAtMs` until a worker is asked to start one of the tasks. */
  readonly expiresAtMs: number;
  /** Time after which no run may go on, whoever confirms the batch, in monotonic time. */
  private runsEndAtMs: number;
  /** Workers that were asked to start one of the tasks. */
  readonly usedWorkerIds = new Set<string>();
  private readonly taskEnds: TaskEnd[] = [];
  private readonly ended = createDeferred<readonly TaskEnd[]>();

  private constructor(
    readonly askedBy: string,
    readonly content: Batch,
    readonly arrivedAtMs: number,
    private confirmation: Confirmation,
  ) {
    this.objectiveAtMs = arrivedAtMs + content.objectiveInMs;
    this.giveUpAtMs = arrivedAtMs + content.giveUpInMs;
    this.expiresAtMs = arrivedAtMs + content.expiresInMs;
    this.runsEndAtMs = arrivedAtMs + (content.runsEndInMs ?? Infinity);
    this.tasks = content.tasks.map(({ index, nextRun, failedRuns, ...losses }) => ({
      batch: this,
      index,
      nextRun,
      failedRuns,
      losses: fromStatedLosses(losses),
      avoidedWorkerIds: new Set<string>(),
      hasEnded: false,
    }));
  }

  /**
   * @param askedBy - incarnation of the requester
   * @param content - the batch
   * @param nowMs - arrival in monotonic time
   * @param confirmation - when its requester was last known to wait for it
   */
  static create(
    askedBy: string,
    content: Batch,
    nowMs: number,
    confirmation = lastingConfirmation,
  ): OpenBatch {
    return new OpenBatch(askedBy, content, nowMs, confirmation);
  }

  /** Time by which every run of the batch has to have ended as things stand, in monotonic time. */
  get runsUntilMs(): number {
    const { confirmedAtMs, confirmationMs } = this.confirmation;
    return Math.min(confirmedAtMs + confirmationMs, this.runsEndAtMs);
  }

  /** Time by which no run goes on even if the batch is confirmed until then, in monotonic time. */
  get latestRunsEndAtMs(): number {
    return Number.isFinite(this.runsEndAtMs) ? this.runsEndAtMs : this.giveUpAtMs;
  }

  /** Whether runs may go on until a time as long as the batch is confirmed, in monotonic time. */
  mayRunUntil(atMs: number): boolean {
    return atMs <= this.runsEndAtMs;
  }

  /** Records that the VM was suspended, in milliseconds: its clock omits the time, and those of the workers do not. */
  recordSuspension(durationMs: number): void {
    const confirmedAtMs = this.confirmation.confirmedAtMs - durationMs;
    this.confirmation = { ...this.confirmation, confirmedAtMs };
    this.runsEndAtMs -= durationMs;
  }

  /**
   * Records that the requester waits for the batch; one that has ended is not confirmed any more.
   *
   * @param atMs - when this was so, in monotonic time
   */
  confirm(atMs: number): void {
    if (!this.hasEnded) {
      const confirmedAtMs = Math.max(this.confirmation.confirmedAtMs, atMs);
      this.confirmation = { ...this.confirmation, confirmedAtMs };
    }
  }

  /** Whether a worker was asked to start one of the tasks. */
  get wasOffered(): boolean {
    return this.usedWorkerIds.size > 0;
  }

  get batchId(): string {
    return this.content.batchId;
  }

  /** Resolves to the ends of all tasks once every task has ended. */
  get completion(): Promise<readonly TaskEnd[]> {
    return this.ended.promise;
  }

  /** Ends of the tasks that have ended so far, in the order in which they ended. */
  get ends(): readonly TaskEnd[] {
    return this.taskEnds;
  }

  /** Whether all tasks have ended. */
  get hasEnded(): boolean {
    return this.taskEnds.length === this.tasks.length;
  }

  /** Records the end of a task; a second end of the same task is ignored. */
  end(task: BatchedTask, end: TaskEnd): void {
    if (task.hasEnded) {
      return;
    }
    task.hasEnded = true;
    this.taskEnds.push(end);
    if (this.hasEnded) {
      this.ended.resolve(this.taskEnds);
    }
  }
}
