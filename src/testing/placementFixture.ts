/**
 * Test fixture: a scheduler on fakes, with endpoints of different speeds.
 */
import { InventoryIndex } from '../inventory/inventoryIndex.js';
import type { PlacedEndpoint } from '../inventory/inventoryIndex.js';
import type { TaskOutcome } from '../types/jobs.js';
import { Scheduler } from '../placement/scheduler.js';
import type { PlacementPolicy, PlacementRules, Task } from '../placement/types.js';
import type { Endpoint } from '../types/inventory.js';
import { FakeClock } from './fakeClock.js';
import { FakeEndpoints } from './fakeEndpoints.js';
import { createConfiguration } from './fixtures.js';
import { SeededRandom } from './seededRandom.js';
import { silentLogger } from './silentLogger.js';

/** Run time of each operation on an endpoint of speed 1. */
const runTimesAtSpeed1Ms: Readonly<Record<string, number>> = {
  fit: 100,
  grade: 400,
  'tag-lookup': 50,
};

export interface PlacementFixtureOptions {
  /** Speed of each endpoint, one for each that is created; 2 runs tasks in half the time. */
  readonly speeds: readonly number[];
  /** Tasks that each endpoint runs at once; 1 by default. */
  readonly slots?: number;
  readonly policy?: PlacementPolicy;
  readonly rules?: PlacementRules;
}

/** What a test specifies of a task; the other fields get fixed values. */
export interface TaskFixture {
  readonly operation: 'fit' | 'grade' | 'tag-lookup';
  readonly jobId?: string;
  /** From now on; 60 s by default. */
  readonly deadlineMs?: number;
}

export class PlacementFixture {
  readonly clock = FakeClock.create();
  readonly endpoints = FakeEndpoints.create(this.clock);
  /** The endpoints, in the order of `speeds`. */
  readonly placed: readonly PlacedEndpoint[];
  readonly scheduler: Scheduler;
  private readonly inventory: InventoryIndex;
  private started = 0;

  private constructor(private readonly options: PlacementFixtureOptions) {
    const { speeds, slots = 1, policy } = options;
    const shape = { workersPerFailureDomain: speeds.length, slots };
    this.inventory = InventoryIndex.create(createConfiguration(shape).inventory);
    this.placed = [...this.inventory.endpoints.values()];
    this.endpoints.behaviour = (endpoint, start) =>
      this.endpoints.runFor(start, this.runTimeMs(endpoint, start.operation));
    this.scheduler = Scheduler.create({
      incarnation: 'test',
      clock: this.clock,
      random: SeededRandom.create(1),
      logger: silentLogger,
      endpoints: this.endpoints,
      rules: () => options.rules ?? { objective: 'messages', retryShare: 0 },
      ...(policy === undefined ? {} : { policy }),
    });
    this.scheduler.setEndpoints(this.placed);
  }

  static create(options: PlacementFixtureOptions): PlacementFixture {
    return new PlacementFixture(options);
  }

  /** Creates a task and runs it through the scheduler. */
  run({ operation, jobId = 'job', deadlineMs = 60_000 }: TaskFixture): Promise<TaskOutcome> {
    return this.scheduler.run(this.createTask({ operation, jobId, deadlineMs }));
  }

  /** Creates a task whose input is its number among all that the fixture created. */
  createTask({ operation, jobId = 'job', deadlineMs = 60_000 }: TaskFixture): Task {
    this.started += 1;
    const declared = this.inventory.operations.get(operation);
    if (declared === undefined) {
      throw new Error(`The inventory has no operation ${operation}.`);
    }
    return {
      taskId: `${jobId}-${this.started}`,
      jobId,
      callerId: 'counter',
      teamId: 'counter-team',
      callerClass: 'paying',
      operation: declared,
      input: this.started,
      deadlineAtMs: this.clock.nowMs() + deadlineMs,
    };
  }

  /** @returns the time that an operation takes on an endpoint, in milliseconds */
  runTimeMs(endpoint: Endpoint, operation: string): number {
    const index = this.placed.findIndex((p) => p.endpoint.endpointId === endpoint.endpointId);
    return (runTimesAtSpeed1Ms[operation] ?? 0) / (this.options.speeds[index] ?? 1);
  }

  /** @returns the id of an endpoint by its position in `speeds` */
  endpointId(index: number): string {
    return this.placed[index]?.endpoint.endpointId ?? '';
  }
}
