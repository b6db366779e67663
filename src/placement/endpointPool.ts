/**
 * The idle slots of the endpoints that this daemon dispatches to.
 */
import { fits } from '../inventory/inventoryIndex.js';
import type { PlacedEndpoint } from '../inventory/inventoryIndex.js';
import type { Operation } from '../inventory/types.js';
import { createDeferred } from '../utils/deferred.js';
import type { Deferred } from '../utils/deferred.js';
import type { WaitingTask } from './taskQueue.js';

/** A slot that waits for a task. */
export interface IdleSlot {
  readonly placed: PlacedEndpoint;
  /** Resolved with the next task, or with nothing when the endpoint is no longer served. */
  readonly next: Deferred<WaitingTask | undefined>;
}

export class EndpointPool {
  private readonly idle = new Set<IdleSlot>();

  private constructor() {
    // Built by create.
  }

  static create(): EndpointPool {
    return new EndpointPool();
  }

  get freeSlots(): number {
    return this.idle.size;
  }

  /**
   * Adds an idle slot.
   *
   * @param placed - the endpoint that has the slot
   * @returns the slot, whose `next` resolves with a task
   */
  addIdle(placed: PlacedEndpoint): IdleSlot {
    const slot: IdleSlot = { placed, next: createDeferred() };
    this.idle.add(slot);
    return slot;
  }

  /** Tells whether an idle slot can run an operation. */
  hasFree(operation: Operation): boolean {
    return this.find(operation) !== undefined;
  }

  /**
   * Takes the best idle slot for an operation.
   *
   * @param operation - the operation
   * @returns the slot, or nothing if none fits
   */
  take(operation: Operation): IdleSlot | undefined {
    const slot = this.find(operation);
    if (slot !== undefined) {
      this.idle.delete(slot);
    }
    return slot;
  }

  /** Ends the wait of an endpoint's idle slots. */
  release(placed: PlacedEndpoint): void {
    for (const slot of this.idle) {
      if (slot.placed === placed) {
        this.idle.delete(slot);
        slot.next.resolve(undefined);
      }
    }
  }

  private find(operation: Operation): IdleSlot | undefined {
    for (const slot of this.idle) {
      if (fits(operation, slot.placed)) {
        return slot;
      }
    }
    return undefined;
  }
}
