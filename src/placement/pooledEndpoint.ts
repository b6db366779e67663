/**
 * State of one endpoint in the pool: its idle and busy slots, and its entries in the buckets.
 */
import type { PlacedEndpoint } from '../inventory/inventoryIndex.js';
import type { Operation } from '../types/inventory.js';
import type { Deferred } from '../utils/deferred.js';
import type { BucketPosition, OperationSlots } from './operationSlots.js';
import type { Attempt } from './attemptRunner.js';

/** Whether an endpoint accepts tasks. */
export type Availability =
  | { readonly kind: 'available' }
  /** Accepts no task: it is paused, in quarantine, or runs its probe. */
  | { readonly kind: 'suspended' }
  /** Accepts one task after a quarantine, and no other until that task has ended. */
  | { readonly kind: 'probe'; readonly accepts: 'any' | 'repeatable' };

/** An attempt that is assigned to a slot. */
export interface Assignment {
  /** `hedge`: a second attempt beside one that runs; currently none is created. */
  readonly kind: 'first' | 'hedge';
  readonly attempt: Attempt;
  /** Expected run time, in milliseconds. */
  readonly expectedMs: number;
  /** Monotonic time of this process at which the attempt is expected to end, in milliseconds. */
  readonly expectedEndAtMs: number;
}

/** A slot that waits for a task. */
export interface IdleSlot {
  /** Resolves with the next assignment, or with undefined when the endpoint is removed. */
  readonly next: Deferred<Assignment | undefined>;
}

/** The place of an endpoint in the buckets of one operation. */
export interface OperationEntry {
  readonly operation: Operation;
  readonly slots: OperationSlots<PooledEndpoint>;
  position: BucketPosition;
}

/** An endpoint in the pool; only the pool changes it. */
export interface PooledEndpoint {
  readonly placed: PlacedEndpoint;
  /** Entries by operation id; only operations that the endpoint fits have one. */
  readonly operationEntries: Map<string, OperationEntry>;
  readonly idleSlots: IdleSlot[];
  availability: Availability;
  /** Slots with a running attempt. */
  busySlots: number;
  /** Sum of the times at which the busy slots are expected to end, in milliseconds. */
  busyEndSumMs: number;
  /** Sum of the expected run times of the running attempts, in milliseconds. */
  busyRunSumMs: number;
}
