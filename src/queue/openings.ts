/**
 * When the teams that their quota keeps back may start again. One async function waits for the next.
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
  /** Ends the wait when the next opening has changed. */
  private nextChanged: Deferred<void> = createDeferred();
  private readonly waiting: Promise<void>;

  private constructor(
    private readonly clock: Clock,
    private readonly onDue: () => void,
  ) {
    this.waiting = this.notifyWhenDue();
  }

  /**
   * @param clock - the time
   * @param onDue - called when a time has come; must take what is due
   */
  static create(clock: Clock, onDue: () => void): UnthrottleSchedule {
    return new UnthrottleSchedule(clock, onDue);
  }

  /**
   * Notes when a team may start again.
   *
   * @param teamId - the team
   * @param openAtMs - monotonic time, or `Infinity` if another event decides
   * @returns whether the time has come
   */
  schedule(teamId: string, openAtMs: number): boolean {
    const nextAtMs = this.heap.peek()?.keyMs;
    this.delete(teamId);
    const isOpen = openAtMs <= this.clock.nowMs();
    if (!isOpen && openAtMs < Infinity) {
      this.nodes.set(teamId, this.heap.push(teamId, openAtMs));
    }
    if (this.heap.peek()?.keyMs !== nextAtMs) {
      this.nextChanged.resolve();
    }
    return isOpen;
  }

  /** @returns the teams whose time has come, which are then forgotten */
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

  private async notifyWhenDue(): Promise<void> {
    while (!this.stop.signal.aborted) {
      await this.waitForNext();
      if (this.hasDue()) {
        this.onDue();
      }
    }
  }

  /** Waits until the next opening, or until another one comes before it. */
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
