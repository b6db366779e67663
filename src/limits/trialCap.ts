/**
 * The cap on the slots that trial work takes. What runs is not pre-empted, so the cap is what keeps
 * slots for paying work.
 */
import { fits } from '../inventory/inventoryIndex.js';
import type { PlacedEndpoint } from '../inventory/inventoryIndex.js';
import type { Operation } from '../types/inventory.js';

export class TrialCap {
  private share = 1;
  private endpoints: readonly PlacedEndpoint[] = [];
  private slots = 0;
  private running = 0;
  private readonly runningOf = new Map<string, number>();
  private readonly slotsByOperation = new Map<Operation, number>();

  private constructor() {
    // Built by create.
  }

  static create(): TrialCap {
    return new TrialCap();
  }

  /** Slots of this daemon. */
  get totalSlots(): number {
    return this.slots;
  }

  /** Slots that trial work may take. */
  get trialSlots(): number {
    return capOf(this.slots, this.share);
  }

  /** @param share - largest share of the slots, between 0 and 1 */
  setShare(share: number): void {
    this.share = share;
  }

  /** @param endpoints - the endpoints that this daemon dispatches to */
  setEndpoints(endpoints: readonly PlacedEndpoint[]): void {
    this.endpoints = endpoints;
    this.slots = endpoints.reduce((sum, { worker }) => sum + worker.slots, 0);
    this.slotsByOperation.clear();
  }

  /** @returns the slots of this daemon that fit an operation */
  slotsOf(operation: Operation): number {
    const known = this.slotsByOperation.get(operation);
    if (known !== undefined) {
      return known;
    }
    const fitting = this.endpoints.filter((placed) => fits(operation, placed));
    const slots = fitting.reduce((sum, { worker }) => sum + worker.slots, 0);
    this.slotsByOperation.set(operation, slots);
    return slots;
  }

  /** Tells whether one more trial task of an operation may start. */
  mayStart(operation: Operation): boolean {
    const running = this.runningOf.get(operation.operationId) ?? 0;
    return this.running < this.trialSlots && running < capOf(this.slotsOf(operation), this.share);
  }

  started(operation: Operation): void {
    this.count(operation, 1);
  }

  ended(operation: Operation): void {
    this.count(operation, -1);
  }

  private count({ operationId }: Operation, change: 1 | -1): void {
    this.running += change;
    this.runningOf.set(operationId, (this.runningOf.get(operationId) ?? 0) + change);
  }
}

/** At least one slot, so that accepted trial work is never locked out. */
const capOf = (slots: number, share: number): number => Math.max(1, Math.floor(slots * share));
