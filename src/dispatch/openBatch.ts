/**
 * A batch that this daemon runs: its tasks and how they have ended so far.
 */
import { createDeferred } from '../utils/deferred.js';
import type { Batch, TaskEnd } from '../types/dispatch.js';

/** A task of a batch, while it waits or runs. */
export interface BatchedTask {
  readonly batch: OpenBatch;
  readonly index: number;
  nextRun: number;
  failedRuns: number;
  /** Workers on which it failed, was lost or could not start. */
  readonly avoidedWorkerIds: Set<string>;
  hasEnded: boolean;
}

export class OpenBatch {
  readonly tasks: readonly BatchedTask[];
  readonly objectiveAtMs: number;
  readonly giveUpAtMs: number;
  /** A batch of which nothing was offered ends when it cannot end by then. */
  readonly expiresAtMs: number;
  /** Whether a worker was asked to start one of the tasks. */
  wasOffered = false;
  private readonly taskEnds: TaskEnd[] = [];
  private readonly ended = createDeferred<readonly TaskEnd[]>();

  private constructor(
    readonly askedBy: string,
    readonly content: Batch,
    readonly arrivedAtMs: number,
  ) {
    this.objectiveAtMs = arrivedAtMs + content.objectiveInMs;
    this.giveUpAtMs = arrivedAtMs + content.giveUpInMs;
    this.expiresAtMs = arrivedAtMs + content.expiresInMs;
    this.tasks = content.tasks.map(({ index, nextRun, failedRuns }) => ({
      batch: this,
      index,
      nextRun,
      failedRuns,
      avoidedWorkerIds: new Set<string>(),
      hasEnded: false,
    }));
  }

  /**
   * @param askedBy - incarnation of the daemon that asked
   * @param content - the batch
   * @param nowMs - monotonic time
   */
  static create(askedBy: string, content: Batch, nowMs: number): OpenBatch {
    return new OpenBatch(askedBy, content, nowMs);
  }

  get batchId(): string {
    return this.content.batchId;
  }

  /** @returns how the tasks ended, once all have */
  get allEnds(): Promise<readonly TaskEnd[]> {
    return this.ended.promise;
  }

  /** @returns how tasks ended so far */
  get ends(): readonly TaskEnd[] {
    return this.taskEnds;
  }

  get isOver(): boolean {
    return this.taskEnds.length === this.tasks.length;
  }

  /** Notes the end of a task; a second end of the same task changes nothing. */
  end(task: BatchedTask, end: TaskEnd): void {
    if (task.hasEnded) {
      return;
    }
    task.hasEnded = true;
    this.taskEnds.push(end);
    if (this.isOver) {
      this.ended.resolve(this.taskEnds);
    }
  }
}
