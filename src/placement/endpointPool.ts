/**
 * The slots of the endpoints that this daemon dispatches to, and the choice among the idle ones.
 *
 * Each operation has its endpoints in buckets, so that a choice looks at buckets and not at
 * endpoints.
 */
import { unreachable } from '../errors/unreachable.js';
import { fits } from '../inventory/inventoryIndex.js';
import type { PlacedEndpoint } from '../inventory/inventoryIndex.js';
import type { Operation } from '../types/inventory.js';
import type { Clock } from '../ports/clock.js';
import type { Random } from '../ports/random.js';
import { createDeferred } from '../utils/deferred.js';
import type { Attempt } from './attempts.js';
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

/** The endpoints of one operation, with the declaration that they were chosen by. */
interface IndexedOperation {
  readonly operation: Operation;
  readonly slots: OperationSlots<PooledEndpoint>;
}

export class EndpointPool {
  private readonly endpoints = new Set<PooledEndpoint>();
  private readonly operations = new Map<string, IndexedOperation>();
  private availableIdleSlots = 0;

  private constructor(private readonly options: EndpointPoolOptions) {}

  static create(options: EndpointPoolOptions): EndpointPool {
    return new EndpointPool(options);
  }

  /** @returns idle slots of the endpoints that get tasks */
  get freeSlots(): number {
    return this.availableIdleSlots;
  }

  get endpointCount(): number {
    return this.endpoints.size;
  }

  /**
   * Adds an endpoint, without slots at first.
   *
   * @param placed - the endpoint
   */
  add(placed: PlacedEndpoint): PooledEndpoint {
    const pooled: PooledEndpoint = {
      placed,
      operationEntries: new Map(),
      idleSlots: [],
      availability: { kind: 'open' },
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

  /** Takes an endpoint out and ends the wait of its idle slots. */
  remove(pooled: PooledEndpoint): void {
    this.removeFromBuckets(pooled);
    this.endpoints.delete(pooled);
    pooled.operationEntries.clear();
    for (const slot of pooled.idleSlots.splice(0)) {
      slot.next.resolve(undefined);
    }
  }

  /**
   * Adds an idle slot.
   *
   * @returns the slot, whose `next` resolves with a task
   */
  addIdle(pooled: PooledEndpoint): IdleSlot {
    const slot: IdleSlot = { next: createDeferred() };
    this.updateBuckets(pooled, () => pooled.idleSlots.push(slot));
    return slot;
  }

  /**
   * Chooses an idle slot for the next task of an operation.
   *
   * @param operation - the operation
   * @param waitingTasks - how many tasks wait for a slot
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
   * Gives a task to an idle slot of an endpoint.
   *
   * @param pooled - the endpoint, from `choose`
   * @param attempt - the attempt that the slot runs
   * @param kind - whether another attempt runs already
   * @returns what the slot got
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
        pooled.availability.kind === 'probe' ? { kind: 'closed' } : pooled.availability;
      slot?.next.resolve(assignment);
    });
    return assignment;
  }

  /** Notes that a task has left its slot; the slot is not idle before `addIdle`. */
  ended(pooled: PooledEndpoint, assignment: Assignment): void {
    this.updateBuckets(pooled, () => {
      pooled.busySlots -= 1;
      pooled.busyEndSumMs -= assignment.expectedEndAtMs;
      pooled.busyRunSumMs -= assignment.expectedMs;
    });
  }

  /** Notes the run time of an operation on an endpoint, in milliseconds. */
  observe(pooled: PooledEndpoint, operation: Operation, runTimeMs: number): void {
    const { endpointId } = pooled.placed.endpoint;
    this.updateBuckets(pooled, () =>
      this.options.runTimes.observe(endpointId, operation, runTimeMs),
    );
  }

  /** Sets whether an endpoint gets tasks. */
  setAvailability(pooled: PooledEndpoint, availability: Availability): void {
    this.updateBuckets(pooled, () => {
      pooled.availability = availability;
    });
  }

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

  private join(pooled: PooledEndpoint, { operation, slots }: IndexedOperation): void {
    if (fits(operation, pooled.placed)) {
      const place = this.findBucketPosition(pooled, operation);
      pooled.operationEntries.set(operation.operationId, { operation, slots, position: place });
    }
  }

  private updateBuckets(pooled: PooledEndpoint, change: () => void): void {
    this.removeFromBuckets(pooled);
    change();
    this.addToBuckets(pooled);
  }

  private removeFromBuckets(pooled: PooledEndpoint): void {
    if (!this.endpoints.has(pooled)) {
      return;
    }
    this.availableIdleSlots -= countAvailableIdleSlots(pooled);
    for (const { slots, position: place } of pooled.operationEntries.values()) {
      const bucket = slots.bucketAt(place);
      bucket.idle.delete(pooled);
      if (pooled.availability.kind === 'open') {
        bucket.busySlots -= pooled.busySlots;
        bucket.busyEndSumMs -= pooled.busyEndSumMs;
        bucket.busyRunSumMs -= pooled.busyRunSumMs;
      }
      slots.probes.delete(pooled);
    }
  }

  private addToBuckets(pooled: PooledEndpoint): void {
    if (!this.endpoints.has(pooled)) {
      return;
    }
    this.availableIdleSlots += countAvailableIdleSlots(pooled);
    for (const membership of pooled.operationEntries.values()) {
      const { operation, slots } = membership;
      membership.position = this.findBucketPosition(pooled, operation);
      const bucket = slots.bucketAt(membership.position);
      if (pooled.availability.kind === 'open') {
        bucket.busySlots += pooled.busySlots;
        bucket.busyEndSumMs += pooled.busyEndSumMs;
        bucket.busyRunSumMs += pooled.busyRunSumMs;
      }
      if (pooled.idleSlots.length > 0) {
        addIdleEndpoint(pooled, operation, slots, membership.position);
      }
    }
  }

  /** Tells the bucket of an endpoint; the lowest bucket with an idle slot is chosen first. */
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
  availability.kind === 'open' ? idleSlots.length : 0;

const addIdleEndpoint = (
  pooled: PooledEndpoint,
  operation: Operation,
  slots: OperationSlots<PooledEndpoint>,
  place: BucketPosition,
): void => {
  const { availability } = pooled;
  switch (availability.kind) {
    case 'open':
      slots.bucketAt(place).idle.add(pooled);
      return;
    case 'closed':
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

const hasSameRequirements = (a: Operation, b: Operation): boolean =>
  a === b ||
  (a.kind === b.kind &&
    a.cores === b.cores &&
    a.memoryMb === b.memoryMb &&
    a.accelerators === b.accelerators);
