/**
 * Bounds how long tasks wait for a faster endpoint while a slower one is idle.
 */
import type { Operation } from '../types/inventory.js';
import type { Clock } from '../ports/clock.js';
import type { SlotChoice } from './slotChoice.js';

export class HoldLimiter {
  private readonly heldSinceMs = new Map<string, number>();
  private readonly scheduledWakes = new Set<string>();

  private constructor(
    private readonly clock: Clock,
    private readonly wake: () => void,
    private readonly signal: AbortSignal,
  ) {}

  /**
   * Creates the bound.
   *
   * @param clock - the time of this process
   * @param wake - called when the wait of an operation has come to its bound
   * @param signal - ends the waits
   */
  static create(clock: Clock, wake: () => void, signal: AbortSignal): HoldLimiter {
    return new HoldLimiter(clock, wake, signal);
  }

  /**
   * Tells whether the tasks of an operation still wait; at most as long as the idle slot would
   * have taken.
   */
  shouldHold(operation: Operation, choice: Extract<SlotChoice, { kind: 'hold' }>): boolean {
    const { operationId } = operation;
    const nowMs = this.clock.nowMs();
    const sinceMs = this.heldSinceMs.get(operationId) ?? nowMs;
    this.heldSinceMs.set(operationId, sinceMs);
    const leftMs = sinceMs + choice.idleCompletionMs - nowMs;
    if (leftMs <= 0) {
      return false;
    }
    void this.wakeAfter(operationId, leftMs);
    return true;
  }

  /** Notes that a task of an operation got a slot. */
  endHold(operation: Operation): void {
    this.heldSinceMs.delete(operation.operationId);
  }

  private async wakeAfter(operationId: string, durationMs: number): Promise<void> {
    if (this.scheduledWakes.has(operationId)) {
      return;
    }
    this.scheduledWakes.add(operationId);
    await this.clock.sleep(durationMs, this.signal);
    this.scheduledWakes.delete(operationId);
    this.wake();
  }
}
