/**
 * Holds the slots of the endpoints that this daemon dispatches to, and chooses among the idle ones.
 *
 * Each operation keeps its endpoints in buckets by expected run time, so that the cost of a choice
 * depends on the number of buckets and not on the number of endpoints.
 */
import { unreachable } from '../errors/unreachable.js';
import { canRunOperation } from '../inventory/inventoryIndex.js';
import type { PlacedEndpoint } from '../inventory/inventoryIndex.js';
import type { Operation } from '../types/inventory.js';
import type { Clock } from '../ports/clock.js';
import type { Random } from '../ports/random.js';
import { createDeferred } from '../utils/deferred.js';
import type { Attempt } from './attemptRunner.js';
import { OperationSlots } from './operationSlots.js';
import type { BucketPosition } from './operationSlots.js';
import type { Assignment, Availability, IdleSlot, PooledEndpoint } from './pooledEndpoint.js';
import { bucketCount, bucketIndexOf } from './runTimeBuckets.js';
import type { RunTimes } from './runTimes.js';
import { chooseSlot } from './slotChoice.js';
import type { SlotChoice } from './slotChoice.js';
import type { PlacementPolicy } from './types.js';

export interface EndpointPoolOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly policy: PlacementPolicy;
  readonly runTimes: RunTimes;
}

/** The endpoints of one operation, with the declaration that decided which of them fit. */
interface IndexedOperation {
  readonly operation: Operation;
  readonly slots: OperationSlots<PooledEndpoint>;
}

export class EndpointPool {
  private readonly endpoints = new Set<PooledEndpoint>();
  private readonly operations = new Map<string, IndexedOperation>();
  /** Idle slots of the endpoints whose availability is `available`. */
  private availableIdleSlots = 0;

  private constructor(private readonly options: EndpointPoolOptions) {}

  static create(options: EndpointPoolOptions): EndpointPool {
    return new EndpointPool(options);
  }

  /** Idle slots of the endpoints that accept tasks; those of probed endpoints do not count. */
  get freeSlots(): number {
    return this.availableIdleSlots;
  }

  /** Number of endpoints in the pool, whatever their availability. */
  get endpointCount(): number {
    return this.endpoints.size;
  }

  /**
   * Adds an endpoint without slots; its slots are added one by one when they are idle.
   *
   * @param placed - the endpoint
   * @returns its state in the pool, by which the other methods find it
   */
  add(placed: PlacedEndpoint): PooledEndpoint {
    const pooled: PooledEndpoint = {
      placed,
      operationEntries: new Map(),
      idleSlots: [],
      availability: { kind: 'available' },
      busySlots: 0,
      busyEndSumMs: 0,
      busyRunSumMs: 0,
    };
    this.endpoints.add(pooled);
    for (const indexed of this.operations.values()) {
      this.join(pooled, indexed);
    }
    return pooled;
  }

  /** Removes an endpoint; its idle slots resolve with undefined. */
  remove(pooled: PooledEndpoint): void {
    this.removeFromBuckets(pooled);
    this.endpoints.delete(pooled);
    pooled.operationEntries.clear();
    for (const slot of pooled.idleSlots.splice(0)) {
      slot.next.resolve(undefined);
    }
  }

  /**
   * Adds an idle slot to an endpoint.
   *
   * @returns the slot, whose `next` resolves when a task is assigned or the endpoint is removed
   */
  addIdleSlot(pooled: PooledEndpoint): IdleSlot {
    const slot: IdleSlot = { next: createDeferred() };
    this.updateBuckets(pooled, () => pooled.idleSlots.push(slot));
    return slot;
  }

  /**
   * Chooses an endpoint for the next task of an operation; assigns nothing yet.
   *
   * @param operation - the operation
   * @param waitingTasks - number of tasks that wait for a slot
   */
  choose(operation: Operation, waitingTasks: number): SlotChoice {
    const { clock, random, policy, runTimes } = this.options;
    return chooseSlot({
      operation,
      slots: this.slotsOf(operation),
      waitingTasks,
      untried: {
        rankMs: runTimes.untriedRankMs(operation),
        runTimeMs: runTimes.typicalMs(operation),
      },
      nowMs: clock.nowMs(),
      random,
      policy,
    });
  }

  /**
   * Assigns an attempt to an idle slot of an endpoint. An endpoint that is probed is suspended
   * until the attempt has ended.
   *
   * @param pooled - the endpoint, from `choose`
   * @param attempt - the attempt that the slot runs
   * @param kind - whether another attempt of the task runs already
   * @returns the assignment, with the expected run time and end
   */
  assign(pooled: PooledEndpoint, attempt: Attempt, kind: Assignment['kind']): Assignment {
    const { clock, runTimes } = this.options;
    const { operation } = attempt.entry.task;
    const expectedMs = runTimes.expectedMs(pooled.placed.endpoint.endpointId, operation);
    const expectedEndAtMs = clock.nowMs() + expectedMs;
    const assignment: Assignment = { kind, attempt, expectedMs, expectedEndAtMs };
    this.updateBuckets(pooled, () => {
      const slot = pooled.idleSlots.pop();
      pooled.busySlots += 1;
      pooled.busyEndSumMs += expectedEndAtMs;
      pooled.busyRunSumMs += expectedMs;
      pooled.availability =
        pooled.availability.kind === 'probe' ? { kind: 'suspended' } : pooled.availability;
      slot?.next.resolve(assignment);
    });
    return assignment;
  }

  /** Records that an attempt has ended; its slot is idle only once it is added again. */
  ended(pooled: PooledEndpoint, assignment: Assignment): void {
    this.updateBuckets(pooled, () => {
      pooled.busySlots -= 1;
      pooled.busyEndSumMs -= assignment.expectedEndAtMs;
      pooled.busyRunSumMs -= assignment.expectedMs;
    });
  }

  /** Records the run time of a task on an endpoint, in milliseconds. */
  recordRunTime(pooled: PooledEndpoint, operation: Operation, runTimeMs: number): void {
    const { endpointId } = pooled.placed.endpoint;
    this.updateBuckets(pooled, () =>
      this.options.runTimes.record(endpointId, operation, runTimeMs),
    );
  }

  /** Sets whether an endpoint accepts tasks. */
  setAvailability(pooled: PooledEndpoint, availability: Availability): void {
    this.updateBuckets(pooled, () => {
      pooled.availability = availability;
    });
  }

  /** Returns the buckets of an operation; builds them anew when its requirements have changed. */
  private slotsOf(operation: Operation): OperationSlots<PooledEndpoint> {
    const known = this.operations.get(operation.operationId);
    if (known !== undefined && hasSameRequirements(known.operation, operation)) {
      return known.slots;
    }
    const indexed: IndexedOperation = { operation, slots: OperationSlots.create() };
    this.operations.set(operation.operationId, indexed);
    for (const pooled of this.endpoints) {
      this.updateBuckets(pooled, () => {
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

  /** Changes an endpoint and moves it to the buckets that follow from the change. */
  private updateBuckets(pooled: PooledEndpoint, change: () => void): void {
    this.removeFromBuckets(pooled);
    change();
    this.addToBuckets(pooled);
  }

  /** Subtracts an endpoint from the totals and from its buckets. */
  private removeFromBuckets(pooled: PooledEndpoint): void {
    if (!this.endpoints.has(pooled)) {
      return;
    }
    this.availableIdleSlots -= countAvailableIdleSlots(pooled);
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
    this.availableIdleSlots += countAvailableIdleSlots(pooled);
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
    const { policy, runTimes } = this.options;
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
