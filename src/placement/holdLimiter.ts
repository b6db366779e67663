/**
 * Limits how long the tasks of an operation are held for a faster endpoint while a slower one is
 * idle (delay scheduling).
 */
import type { Operation } from '../types/inventory.js';
import type { Clock } from '../ports/clock.js';
import type { SlotChoice } from './slotChoice.js';

export class HoldLimiter {
  /** Start of the hold by operation id, in milliseconds. */
  private readonly heldSinceMs = new Map<string, number>();
  /** Ids of the operations whose end of hold has a timer. */
  private readonly scheduledWakes = new Set<string>();

  private constructor(
    private readonly clock: Clock,
    private readonly wake: () => void,
    private readonly signal: AbortSignal,
  ) {}

  /**
   * Creates a limiter without holds.
   *
   * @param clock - clock of this process
   * @param wake - called when the hold of an operation has reached its limit
   * @param signal - ends the timers
   */
  static create(clock: Clock, wake: () => void, signal: AbortSignal): HoldLimiter {
    return new HoldLimiter(clock, wake, signal);
  }

  /**
   * Returns whether the tasks of an operation should still be held. The limit is the expected
   * completion time on the idle slot, counted from the start of the hold. Starts the hold if there
   * is none.
   *
   * @param operation - the operation
   * @param choice - the choice to hold, with the completion time on the best idle slot
   */
  shouldHold(operation: Operation, choice: Extract<SlotChoice, { kind: 'hold' }>): boolean {
    const { operationId } = operation;
    const nowMs = this.clock.nowMs();
    const sinceMs = this.heldSinceMs.get(operationId) ?? nowMs;
    this.heldSinceMs.set(operationId, sinceMs);
    const timeLeftMs = sinceMs + choice.idleCompletionMs - nowMs;
    if (timeLeftMs <= 0) {
      return false;
    }
    void this.wakeAfter(operationId, timeLeftMs);
    return true;
  }

  /** Ends the hold of an operation; called when one of its tasks gets a slot. */
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
