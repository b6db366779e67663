/**
 * Holds the slots of the endpoints that this daemon dispatches to, and chooses among the idle ones.
 *
 * Each operation keeps its endpoints in buckets by expected run time, so that the cost of a choice
 * depends on the number of buckets and not on the number of endpoints.
 */
import type { PlacedEndpoint } from '../inventory/inventoryIndex.js';
import type { Operation } from '../types/inventory.js';
import type { Clock } from '../ports/clock.js';
import type { Random } from '../ports/random.js';
import { createDeferred } from '../utils/deferred.js';
import type { Attempt } from './attemptRunner.js';
import { EndpointBuckets } from './endpointBuckets.js';
import type { Assignment, Availability, IdleSlot, PooledEndpoint } from './pooledEndpoint.js';
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

export class EndpointPool {
  private readonly buckets: EndpointBuckets;

  private constructor(private readonly options: EndpointPoolOptions) {
    this.buckets = EndpointBuckets.create(options.policy, options.runTimes);
  }

  static create(options: EndpointPoolOptions): EndpointPool {
    return new EndpointPool(options);
  }

  /** Idle slots of the endpoints that accept tasks; those of probed endpoints do not count. */
  get freeSlots(): number {
    return this.buckets.availableIdleSlots;
  }

  /** Number of endpoints in the pool, whatever their availability. */
  get endpointCount(): number {
    return this.buckets.endpointCount;
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
    this.buckets.add(pooled);
    return pooled;
  }

  /** Removes an endpoint; its idle slots resolve with undefined. */
  remove(pooled: PooledEndpoint): void {
    this.buckets.remove(pooled);
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
    this.buckets.update(pooled, () => pooled.idleSlots.push(slot));
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
      slots: this.buckets.slotsOf(operation),
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
    this.buckets.update(pooled, () => {
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
    this.buckets.update(pooled, () => {
      pooled.busySlots -= 1;
      pooled.busyEndSumMs -= assignment.expectedEndAtMs;
      pooled.busyRunSumMs -= assignment.expectedMs;
    });
  }

  /** Records the run time of a task on an endpoint, in milliseconds. */
  recordRunTime(pooled: PooledEndpoint, operation: Operation, runTimeMs: number): void {
    const { endpointId } = pooled.placed.endpoint;
    this.buckets.update(pooled, () =>
      this.options.runTimes.record(endpointId, operation, runTimeMs),
    );
  }

  /** Sets whether an endpoint accepts tasks. */
  setAvailability(pooled: PooledEndpoint, availability: Availability): void {
    this.buckets.update(pooled, () => {
      pooled.availability = availability;
    });
  }
}
