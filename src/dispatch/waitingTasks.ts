/**
 * The tasks that wait for free capacity, by service, each in the order in which they should start. Services share no
 * workers, so that the tasks of one do not wait for those of another.
 */
import type { BatchedTask, OpenBatch } from './openBatch.js';
import { SortedBlocks } from '../scheduling/sortedBlocks.js';
import { comparePositions, firstRank, nextRaiseMs, rankAt } from '../scheduling/taskOrder.js';
import type { RankInput, TaskPosition } from '../scheduling/taskOrder.js';

/** A waiting task and its place in the order of its service. */
export interface WaitingEntry extends TaskPosition, RankInput {
  readonly task: BatchedTask;
  /** When its rank rises next, in monotonic time. */
  readonly raiseAtMs: number;
}

/** The waiting tasks of one service. */
interface ServiceQueue {
  /** Whether priorities decide the order. */
  isRanked: boolean;
  readonly order: SortedBlocks<WaitingEntry>;
  /** The tasks whose rank rises by waiting, the earliest first. */
  readonly raises: SortedBlocks<WaitingEntry>;
}

export class WaitingTasks {
  private readonly queues = new Map<string, ServiceQueue>();
  private readonly entries = new Map<BatchedTask, WaitingEntry>();
  private nextSequence = 0;

  private constructor() {
    // Built by create.
  }

  static create(): WaitingTasks {
    return new WaitingTasks();
  }

  get size(): number {
    return this.entries.size;
  }

  /** Services with waiting tasks. */
  get serviceIds(): string[] {
    return [...this.queues.keys()];
  }

  /**
   * Inserts a task behind those that should start earlier or at the same time.
   *
   * @param task - the task
   * @param startByMs - latest start that meets its objective with a margin, in monotonic time
   * @param nowMs - monotonic time
   */
  push(task: BatchedTask, startByMs: number, nowMs: number): void {
    this.remove(task);
    this.nextSequence += 1;
    const { priority } = task.batch.content;
    const sequence = this.nextSequence;
    this.insert({ task, priority, queuedAtMs: nowMs, startByMs, sequence, isLate: false }, nowMs);
  }

  /**
   * Brings the order of a service up to date.
   *
   * @param isRanked - whether priorities decide
   */
  refresh(serviceId: string, isRanked: boolean, nowMs: number): void {
    const queue = this.queues.get(serviceId);
    if (queue === undefined) {
      return;
    }
    if (queue.isRanked !== isRanked) {
      queue.isRanked = isRanked;
      queue.order.list().forEach((entry) => this.reinsert({ ...entry, isLate: false }, nowMs));
    }
    let next = queue.raises.first();
    while (next !== undefined && next.raiseAtMs <= nowMs) {
      this.reinsert(next, nowMs);
      next = queue.raises.first();
    }
  }

  /** Puts a task that can no longer meet its objective behind those that can. */
  defer(task: BatchedTask, nowMs: number): void {
    const entry = this.entries.get(task);
    if (entry !== undefined && !entry.isLate) {
      this.reinsert({ ...entry, isLate: true }, nowMs);
    }
  }

  /** @returns the first waiting task of a service behind a position, or the first of all */
  next(serviceId: string, position?: WaitingEntry): WaitingEntry | undefined {
    const order = this.queues.get(serviceId)?.order;
    return position === undefined ? order?.first() : order?.after(position);
  }

  /** @returns the tasks, in the order in which they should start */
  list(): BatchedTask[] {
    return [...this.queues.values()].flatMap(({ order }) => order.list().map(({ task }) => task));
  }

  /** @returns the waiting tasks of a batch */
  listOf(batch: OpenBatch): BatchedTask[] {
    return batch.tasks.filter((task) => this.entries.has(task));
  }

  remove(task: BatchedTask): void {
    const entry = this.entries.get(task);
    if (entry === undefined) {
      return;
    }
    const { serviceId } = task.batch.content;
    const queue = this.queues.get(serviceId);
    this.entries.delete(task);
    queue?.order.delete(entry);
    queue?.raises.delete(entry);
    if (queue?.order.size === 0) {
      this.queues.delete(serviceId);
    }
  }

  /** Removes all tasks of a batch. */
  removeBatch(batch: OpenBatch): void {
    batch.tasks.forEach((task) => this.remove(task));
  }

  private reinsert(entry: WaitingEntry, nowMs: number): void {
    const queue = this.queueOf(entry.task);
    const present = this.entries.get(entry.task);
    if (present !== undefined) {
      queue.order.delete(present);
      queue.raises.delete(present);
    }
    this.insert(entry, nowMs);
  }

  private insert(input: Omit<WaitingEntry, 'rank' | 'raiseAtMs'>, nowMs: number): void {
    const queue = this.queueOf(input.task);
    const rank = queue.isRanked ? rankAt(input, nowMs) : firstRank;
    const raiseAtMs = queue.isRanked ? nextRaiseMs(input, nowMs) : Infinity;
    const entry = { ...input, rank, raiseAtMs };
    this.entries.set(input.task, entry);
    queue.order.add(entry);
    if (raiseAtMs < Infinity) {
      queue.raises.add(entry);
    }
  }

  private queueOf({ batch }: BatchedTask): ServiceQueue {
    const { serviceId } = batch.content;
    const queue = this.queues.get(serviceId) ?? {
      isRanked: false,
      order: SortedBlocks.create<WaitingEntry>(comparePositions),
      raises: SortedBlocks.create<WaitingEntry>(
        (a, b) => a.raiseAtMs - b.raiseAtMs || a.sequence - b.sequence,
      ),
    };
    this.queues.set(serviceId, queue);
    return queue;
  }
}
