/**
 * `npm run bench:decisions`: measures the time of one endpoint choice against the number of endpoints.
 */
import { SystemClock } from '../src/adapters/system/systemClock.js';
import { InventoryIndex } from '../src/inventory/inventoryIndex.js';
import type { Operation } from '../src/types/inventory.js';
import type { Attempt } from '../src/placement/attemptRunner.js';
import { EndpointPool } from '../src/placement/endpointPool.js';
import type { Assignment, PooledEndpoint } from '../src/placement/pooledEndpoint.js';
import { RunTimes } from '../src/placement/runTimes.js';
import { createConfiguration } from '../src/testing/fixtures.js';
import { SeededRandom } from '../src/testing/seededRandom.js';
import { createDeferred } from '../src/utils/deferred.js';

const endpointCounts = [30, 100, 300, 910] as const;
const slotsPerEndpoint = 8;
const measuredChoices = 100_000;
/** Share of the slots that run tasks while choices are measured. */
const targetLoad = 0.7;
const microsecondsPerMs = 1_000;

/** A slot whose task has not ended. */
interface BusySlot {
  readonly pooled: PooledEndpoint;
  readonly assignment: Assignment;
}

/** An endpoint pool under load, whose tasks end in random order. */
class LoadedPool {
  private readonly random = SeededRandom.create(1);
  private readonly runTimes = RunTimes.create();
  private readonly pool: EndpointPool;
  private readonly operations: readonly Operation[];
  private readonly busy: BusySlot[] = [];
  private readonly stop = new AbortController();

  private constructor(private readonly endpointCount: number) {
    const shape = { workersPerFailureDomain: endpointCount, slots: slotsPerEndpoint };
    const inventory = InventoryIndex.create(createConfiguration(shape).inventory);
    const clock = SystemClock.create();
    const { random, runTimes } = this;
    const policy = { kind: 'expected-completion' } as const;
    this.pool = EndpointPool.create({ clock, random, policy, runTimes });
    this.operations = [...inventory.operations.values()];
    for (const placed of inventory.endpoints.values()) {
      const pooled = this.pool.add(placed);
      Array.from({ length: slotsPerEndpoint }, () => this.pool.addIdleSlot(pooled));
    }
  }

  static create(endpointCount: number): LoadedPool {
    return new LoadedPool(endpointCount);
  }

  /** Makes choices; once the target load is reached, one random task ends after each choice. */
  run(choices: number): void {
    for (let number = 0; number < choices; number += 1) {
      this.choose(number);
      if (this.busy.length > this.endpointCount * slotsPerEndpoint * targetLoad) {
        this.endRandomTask();
      }
    }
  }

  private choose(number: number): void {
    const operation = this.operations[number % this.operations.length];
    const choice = operation === undefined ? undefined : this.pool.choose(operation, 1);
    if (operation === undefined || choice === undefined || choice.kind === 'none') {
      throw new Error('Every slot is busy.');
    }
    const { pooled } = choice;
    const attempt = this.createAttempt(pooled, operation, number);
    this.busy.push({ pooled, assignment: this.pool.assign(pooled, attempt, 'first') });
  }

  /** Ends a random task, and fills its place in the list with the last one. */
  private endRandomTask(): void {
    const index = Math.floor(this.random.next() * this.busy.length);
    const slot = this.busy[index];
    const last = this.busy.pop();
    if (slot === undefined || last === undefined) {
      return;
    }
    if (slot !== last) {
      this.busy[index] = last;
    }
    const { operation } = slot.assignment.attempt.entry.task;
    const runTimeMs = operation.declaredRunTimeMs * (0.5 + this.random.next());
    this.pool.ended(slot.pooled, slot.assignment);
    this.pool.recordRunTime(slot.pooled, operation, runTimeMs);
    this.pool.addIdleSlot(slot.pooled);
  }

  private createAttempt({ placed }: PooledEndpoint, operation: Operation, number: number): Attempt {
    const task = {
      taskId: `${number}`,
      jobId: 'bench',
      callerId: 'counter',
      teamId: 'counters',
      callerClass: 'paying' as const,
      operation,
      input: number,
      deadlineAtMs: Infinity,
    };
    const entry = { task, outcome: createDeferred<never>(), attempts: 0 };
    return { entry, placed, stop: this.stop, isSent: false };
  }
}

/** @returns microseconds for one choice and one end of a task, after a warm-up that fills the pool */
const measure = (endpointCount: number): number => {
  const pool = LoadedPool.create(endpointCount);
  pool.run(endpointCount * slotsPerEndpoint + measuredChoices / 5);
  const clock = SystemClock.create();
  const startedAtMs = clock.nowMs();
  pool.run(measuredChoices);
  return ((clock.nowMs() - startedAtMs) * microsecondsPerMs) / measuredChoices;
};

const costs = endpointCounts.map((endpointCount) => ({
  endpointCount,
  costUs: measure(endpointCount),
}));
for (const { endpointCount, costUs } of costs) {
  process.stdout.write(
    `${endpointCount} endpoints: ${costUs.toFixed(2)} µs for a choice and an end\n`,
  );
}
const first = costs[0];
const last = costs.at(-1);
if (first !== undefined && last !== undefined) {
  const slope =
    Math.log(last.costUs / first.costUs) / Math.log(last.endpointCount / first.endpointCount);
  process.stdout.write(`slope ${slope.toFixed(2)} (0 is flat, 1 is linear in the endpoints)\n`);
}
