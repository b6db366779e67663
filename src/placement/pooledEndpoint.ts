/**
 * One endpoint in the pool, with its idle and busy slots.
 */
import type { PlacedEndpoint } from '../inventory/inventoryIndex.js';
import type { Operation } from '../types/inventory.js';
import type { Deferred } from '../utils/deferred.js';
import type { BucketPosition, OperationSlots } from './operationSlots.js';
import type { Attempt } from './attempts.js';

/** Whether an endpoint gets tasks. */
export type Availability =
  | { readonly kind: 'open' }
  /** Gets nothing until it is probed. */
  | { readonly kind: 'closed' }
  /** Gets one task, and nothing more until that task has ended. */
  | { readonly kind: 'probe'; readonly accepts: 'any' | 'repeatable' };

/** A task that a slot has to run. */
export interface Assignment {
  /** `hedge`: a second attempt beside one that runs. */
  readonly kind: 'first' | 'hedge';
  readonly attempt: Attempt;
  readonly expectedMs: number;
  readonly expectedEndAtMs: number;
}

/** A slot that waits for a task. */
export interface IdleSlot {
  /** Resolved with the next task, or with nothing when the endpoint is no longer served. */
  readonly next: Deferred<Assignment | undefined>;
}

/** An endpoint's entry in the buckets of one operation. */
export interface OperationEntry {
  readonly operation: Operation;
  readonly slots: OperationSlots<PooledEndpoint>;
  position: BucketPosition;
}

export interface PooledEndpoint {
  readonly placed: PlacedEndpoint;
  readonly operationEntries: Map<string, OperationEntry>;
  readonly idleSlots: IdleSlot[];
  availability: Availability;
  busySlots: number;
  /** Sum of the times at which the busy slots are expected to end, in milliseconds. */
  busyEndSumMs: number;
  /** Sum of the expected run times of what runs, in milliseconds. */
  busyRunSumMs: number;
}
