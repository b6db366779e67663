/**
 * The cap on the slots that trial work may hold on this daemon. Running tasks are not pre-empted,
 * so only the cap keeps slots free for paying work.
 */
import { canRunOperation } from '../inventory/inventoryIndex.js';
import type { PlacedEndpoint } from '../inventory/inventoryIndex.js';
import type { Operation } from '../types/inventory.js';

export class TrialCap {
  private share = 1;
  private endpoints: readonly PlacedEndpoint[] = [];
  /** Slots of all endpoints. */
  private slots = 0;
  /** Trial tasks that hold a slot. */
  private running = 0;
  /** Trial tasks that hold a slot, by operation id. */
  private readonly runningByOperation = new Map<string, number>();
  /** Results of `slotsFor` since the endpoints were set. */
  private readonly slotsByOperation = new Map<Operation, number>();

  private constructor() {
    // Built by create.
  }

  static create(): TrialCap {
    return new TrialCap();
  }

  /** Slots of all endpoints that this daemon dispatches to. */
  get totalSlots(): number {
    return this.slots;
  }

  /** Slots that trial work may hold at once. */
  get trialSlots(): number {
    return capOf(this.slots, this.share);
  }

  /** @param share - largest share of the slots that trial work may hold, between 0 and 1 */
  setShare(share: number): void {
    this.share = share;
  }

  /** @param endpoints - the endpoints that this daemon dispatches to */
  setEndpoints(endpoints: readonly PlacedEndpoint[]): void {
    this.endpoints = endpoints;
    this.slots = endpoints.reduce((sum, { worker }) => sum + worker.slots, 0);
    this.slotsByOperation.clear();
  }

  /** @returns the slots of the endpoints that can run an operation */
  slotsFor(operation: Operation): number {
    const cached = this.slotsByOperation.get(operation);
    if (cached !== undefined) {
      return cached;
    }
    const fitting = this.endpoints.filter((placed) => canRunOperation(operation, placed));
    const slots = fitting.reduce((sum, { worker }) => sum + worker.slots, 0);
    this.slotsByOperation.set(operation, slots);
    return slots;
  }

  /**
   * Checks whether one more trial task of an operation may start: the cap applies to all slots, and
   * to those that fit the operation.
   */
  mayStart(operation: Operation): boolean {
    const running = this.runningByOperation.get(operation.operationId) ?? 0;
    return this.running < this.trialSlots && running < capOf(this.slotsFor(operation), this.share);
  }

  /** Counts the start of a trial task. */
  started(operation: Operation): void {
    this.count(operation, 1);
  }

  /** Counts the end of a trial task. */
  ended(operation: Operation): void {
    this.count(operation, -1);
  }

  private count({ operationId }: Operation, change: 1 | -1): void {
    this.running += change;
    this.runningByOperation.set(
      operationId,
      (this.runningByOperation.get(operationId) ?? 0) + change,
    );
  }
}

/** At least one slot, so that accepted trial work always makes progress. */
const capOf = (slots: number, share: number): number => Math.max(1, Math.floor(slots * share));
