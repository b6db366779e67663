/**
 * Holds the time at which each throttled team may start tasks again. One async function waits for
 * the next one.
 */
import type { Clock } from '../ports/clock.js';
import { createDeferred } from '../utils/deferred.js';
import type { Deferred } from '../utils/deferred.js';
import { KeyedHeap } from './keyedHeap.js';
import type { HeapNode } from './keyedHeap.js';

export class UnthrottleSchedule {
  private readonly heap = KeyedHeap.create<string>();
  private readonly nodes = new Map<string, HeapNode<string>>();
  private readonly stop = new AbortController();
  /** Resolves when the earliest time has changed, which ends the current wait. */
  private nextChanged: Deferred<void> = createDeferred();
  private readonly waiting: Promise<void>;

  private constructor(
    private readonly clock: Clock,
    private readonly onDue: () => void,
  ) {
    this.waiting = this.notifyWhenDue();
  }

  /**
   * Creates an empty schedule and starts to wait.
   *
   * @param clock - clock of this process
   * @param onDue - called when a time has come; has to call `takeDue`
   */
  static create(clock: Clock, onDue: () => void): UnthrottleSchedule {
    return new UnthrottleSchedule(clock, onDue);
  }

  /**
   * Sets when a team may start tasks again, in place of any earlier time.
   *
   * @param teamId - the team
   * @param mayStartAtMs - monotonic time in milliseconds, or `Infinity` if the team has to wait for
   *   another event, such as a free slot of its quota
   * @returns whether the time has come already, so that nothing was scheduled
   */
  set(teamId: string, mayStartAtMs: number): boolean {
    const earliestBeforeMs = this.heap.peek()?.keyMs;
    this.delete(teamId);
    const isDue = mayStartAtMs <= this.clock.nowMs();
    if (!isDue && mayStartAtMs < Infinity) {
      this.nodes.set(teamId, this.heap.push(teamId, mayStartAtMs));
    }
    if (this.heap.peek()?.keyMs !== earliestBeforeMs) {
      this.nextChanged.resolve();
    }
    return isDue;
  }

  /** Removes and returns the teams whose time has come. */
  takeDue(): string[] {
    const due: string[] = [];
    const nowMs = this.clock.nowMs();
    for (let next = this.heap.peek(); next !== undefined; next = this.heap.peek()) {
      if (next.keyMs > nowMs) {
        break;
      }
      this.delete(next.item);
      due.push(next.item);
    }
    return due;
  }

  /** Ends the wait; `onDue` may be called once more if a time has come. */
  async close(): Promise<void> {
    this.stop.abort();
    this.nextChanged.resolve();
    await this.waiting;
  }

  private delete(teamId: string): void {
    const node = this.nodes.get(teamId);
    if (node !== undefined) {
      this.nodes.delete(teamId);
      this.heap.remove(node);
    }
  }

  /** Calls `onDue` whenever a time has come, until the schedule is closed. */
  private async notifyWhenDue(): Promise<void> {
    while (!this.stop.signal.aborted) {
      await this.waitForNext();
      if (this.hasDue()) {
        this.onDue();
      }
    }
  }

  /** Waits until the earliest time has come or has changed. */
  private async waitForNext(): Promise<void> {
    const next = this.heap.peek();
    const timer = new AbortController();
    const waits = [this.nextChanged.promise];
    if (next !== undefined) {
      waits.push(this.clock.sleep(next.keyMs - this.clock.nowMs(), timer.signal));
    }
    await Promise.race(waits);
    timer.abort();
    this.nextChanged = createDeferred();
  }

  private hasDue(): boolean {
    const next = this.heap.peek();
    return next !== undefined && next.keyMs <= this.clock.nowMs();
  }
}
