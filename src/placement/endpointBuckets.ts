/**
 * Keeps the endpoints of a pool in the buckets of each operation that they fit, and the buckets up to
 * date when an endpoint changes.
 */
import { unreachable } from '../errors/unreachable.js';
import { canRunOperation } from '../inventory/inventoryIndex.js';
import type { Operation } from '../types/inventory.js';
import { OperationSlots } from './operationSlots.js';
import type { BucketPosition } from './operationSlots.js';
import type { PooledEndpoint } from './pooledEndpoint.js';
import { bucketCount, bucketIndexOf } from './runTimeBuckets.js';
import type { RunTimes } from './runTimes.js';
import type { PlacementPolicy } from './types.js';

/** The endpoints of one operation, with the declaration that decided which of them fit. */
interface IndexedOperation {
  readonly operation: Operation;
  readonly slots: OperationSlots<PooledEndpoint>;
}

export class EndpointBuckets {
  private readonly endpoints = new Set<PooledEndpoint>();
  private readonly operations = new Map<string, IndexedOperation>();
  private idleSlotCount = 0;

  private constructor(
    private readonly policy: PlacementPolicy,
    private readonly runTimes: RunTimes,
  ) {}

  static create(policy: PlacementPolicy, runTimes: RunTimes): EndpointBuckets {
    return new EndpointBuckets(policy, runTimes);
  }

  /** Idle slots of the endpoints whose availability is `available`. */
  get availableIdleSlots(): number {
    return this.idleSlotCount;
  }

  /** Number of endpoints, whatever their availability. */
  get endpointCount(): number {
    return this.endpoints.size;
  }

  /** Adds an endpoint that has no slots yet. */
  add(pooled: PooledEndpoint): void {
    this.endpoints.add(pooled);
    for (const indexed of this.operations.values()) {
      this.join(pooled, indexed);
    }
  }

  /** Removes an endpoint; a later `update` only carries out its change. */
  remove(pooled: PooledEndpoint): void {
    this.removeFromBuckets(pooled);
    this.endpoints.delete(pooled);
    pooled.operationEntries.clear();
  }

  /** Changes an endpoint and moves it to the buckets that follow from the change. */
  update(pooled: PooledEndpoint, change: () => void): void {
    this.removeFromBuckets(pooled);
    change();
    this.addToBuckets(pooled);
  }

  /** Returns the buckets of an operation; builds them anew when its requirements have changed. */
  slotsOf(operation: Operation): OperationSlots<PooledEndpoint> {
    const known = this.operations.get(operation.operationId);
    if (known !== undefined && hasSameRequirements(known.operation, operation)) {
      return known.slots;
    }
    const indexed: IndexedOperation = { operation, slots: OperationSlots.create() };
    this.operations.set(operation.operationId, indexed);
    for (const pooled of this.endpoints) {
      this.update(pooled, () => {
        pooled.operationEntries.delete(operation.operationId);
        this.join(pooled, indexed);
      });
    }
    return indexed.slots;
  }

  /** Adds the entry of an operation to an endpoint that fits it; `addToBuckets` reads the entries. */
  private join(pooled: PooledEndpoint, { operation, slots }: IndexedOperation): void {
    if (canRunOperation(operation, pooled.placed)) {
      const position = this.findBucketPosition(pooled, operation);
      pooled.operationEntries.set(operation.operationId, { operation, slots, position });
    }
  }

  /** Subtracts an endpoint from the totals and from its buckets. */
  private removeFromBuckets(pooled: PooledEndpoint): void {
    if (!this.endpoints.has(pooled)) {
      return;
    }
    this.idleSlotCount -= countAvailableIdleSlots(pooled);
    for (const { slots, position } of pooled.operationEntries.values()) {
      const bucket = slots.bucketAt(position);
      bucket.idle.delete(pooled);
      if (pooled.availability.kind === 'available') {
        bucket.busySlots -= pooled.busySlots;
        bucket.busyEndSumMs -= pooled.busyEndSumMs;
        bucket.busyRunSumMs -= pooled.busyRunSumMs;
      }
      slots.probes.delete(pooled);
    }
  }

  /** Adds an endpoint to the totals and to the bucket of each operation that it fits. */
  private addToBuckets(pooled: PooledEndpoint): void {
    if (!this.endpoints.has(pooled)) {
      return;
    }
    this.idleSlotCount += countAvailableIdleSlots(pooled);
    for (const operationEntry of pooled.operationEntries.values()) {
      const { operation, slots } = operationEntry;
      operationEntry.position = this.findBucketPosition(pooled, operation);
      const bucket = slots.bucketAt(operationEntry.position);
      if (pooled.availability.kind === 'available') {
        bucket.busySlots += pooled.busySlots;
        bucket.busyEndSumMs += pooled.busyEndSumMs;
        bucket.busyRunSumMs += pooled.busyRunSumMs;
      }
      if (pooled.idleSlots.length > 0) {
        addIdleEndpoint(pooled, operation, slots, operationEntry.position);
      }
    }
  }

  /** Finds the bucket of an endpoint by the policy; lower buckets are chosen first. */
  private findBucketPosition(pooled: PooledEndpoint, operation: Operation): BucketPosition {
    const { policy, runTimes } = this;
    switch (policy.kind) {
      case 'expected-completion': {
        const ms = runTimes.observedMs(pooled.placed.endpoint.endpointId, operation);
        return ms === undefined
          ? { kind: 'untried' }
          : { kind: 'observed', index: bucketIndexOf(ms) };
      }
      case 'least-connections':
        return { kind: 'observed', index: Math.min(pooled.busySlots, bucketCount - 1) };
      case 'random':
        return { kind: 'observed', index: 0 };
      default:
        return unreachable(policy);
    }
  }
}

const countAvailableIdleSlots = ({ availability, idleSlots }: PooledEndpoint): number =>
  availability.kind === 'available' ? idleSlots.length : 0;

/** Makes an endpoint with an idle slot available for choices, as far as it accepts tasks. */
const addIdleEndpoint = (
  pooled: PooledEndpoint,
  operation: Operation,
  slots: OperationSlots<PooledEndpoint>,
  position: BucketPosition,
): void => {
  const { availability } = pooled;
  switch (availability.kind) {
    case 'available':
      slots.bucketAt(position).idle.add(pooled);
      return;
    case 'suspended':
      return;
    case 'probe':
      if (availability.accepts === 'any' || operation.kind === 'repeatable') {
        slots.probes.add(pooled);
      }
      return;
    default:
      return unreachable(availability);
  }
};

/** Returns whether two declarations of an operation have the same kind and resource needs. */
const hasSameRequirements = (a: Operation, b: Operation): boolean =>
  a === b ||
  (a.kind === b.kind &&
    a.cores === b.cores &&
    a.memoryMb === b.memoryMb &&
    a.accelerators === b.accelerators);
