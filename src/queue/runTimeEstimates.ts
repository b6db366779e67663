/**
 * The expected slot-time of each operation: the declared run time until one is observed.
 */
import type { Operation } from '../inventory/types.js';

/** Weight of a new observation, between 0 and 1. */
const observationWeight = 0.1;
/** Shorter slot-times come from attempts that an endpoint turned down. */
const minObservedMs = 2;

export class RunTimeEstimates {
  private readonly observedMs = new Map<string, number>();

  private constructor() {
    // Built by create.
  }

  static create(): RunTimeEstimates {
    return new RunTimeEstimates();
  }

  /** @returns the expected slot-time of one task in milliseconds */
  expectedMs(operation: Operation): number {
    return this.observedMs.get(operation.operationId) ?? operation.declaredRunTimeMs;
  }

  /** Tells whether the expectation rests on observation; declared run times are often far off. */
  isObserved(operation: Operation): boolean {
    return this.observedMs.has(operation.operationId);
  }

  /**
   * Learns from one task.
   *
   * @param operation - what ran
   * @param slotTimeMs - how long it held its slot
   */
  observe(operation: Operation, slotTimeMs: number): void {
    if (slotTimeMs < minObservedMs) {
      return;
    }
    const beforeMs = this.observedMs.get(operation.operationId) ?? slotTimeMs;
    const afterMs = beforeMs + observationWeight * (slotTimeMs - beforeMs);
    this.observedMs.set(operation.operationId, afterMs);
  }
}
