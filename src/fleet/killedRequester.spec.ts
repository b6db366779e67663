import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { JobRequest } from '../ports/jobs.js';
import { workerFixture } from '../testing/dispatchFixtures.js';
import { FleetFixture } from '../testing/fleetFixture.js';
import type { FixtureMember } from '../testing/fleetFixture.js';
import { shardOf } from './shardMembership.js';

const shardCount = 2;
const slotsPerWorker = 2;
const slotCpu = workerFixture.capacity.cpuMillis / slotsPerWorker;

/** Accepts the long job; its address is the lower one, so that it sends the heartbeats of the pair. */
const requester: FixtureMember = {
  address: '127.0.0.1:1',
  incarnation: 'requester',
  failureDomainId: 'east',
  shards: [0],
};
const dispatcher: FixtureMember = {
  address: '127.0.0.1:2',
  incarnation: 'dispatcher',
  failureDomainId: 'east',
  shards: [1],
};

const workersOf = (shard: number, label: string, count: number) =>
  Array.from({ length: 100 }, (_, index) => `${label}-${index}`)
    .filter((workerId) => shardOf(workerId, shardCount) === shard)
    .slice(0, count)
    .map((workerId) => ({ ...workerFixture, workerId, labels: [label] }));

const workers = [
  ...workersOf(0, 'small', 2),
  ...workersOf(0, 'long', 1),
  ...workersOf(1, 'small', 1),
  ...workersOf(1, 'long', 2),
];

const createJob = (number: number, label: string, taskCount: number): JobRequest => ({
  jobId: number.toString(16).padStart(16, '0'),
  spec: '',
  steps: [
    {
      taskCount,
      estimatedMs: 5_000,
      after: [],
      needs: {
        resources: { cpuMillis: slotCpu, memoryMb: 64, accelerators: 0 },
        requiredLabel: label,
      },
    },
  ],
  unsupported: [],
});

/** Shortest time after which a caller whose connection broke sends its job again, in milliseconds. */
const callerResendMs = 1_300;

// Guards against runs of a killed daemon beside the second attempt of its caller.
test('the runs of a killed requester are stopped in time while batches are sent to it', async () => {
  for (const resumesAfterMs of [undefined, 500, 700]) {
    const fleet = await FleetFixture.create({ shardCount, workers, runMs: 5_000 }, [
      requester,
      dispatcher,
    ]);
    void fleet.submit(requester.address, createJob(1, 'long', 3 * slotsPerWorker));
    await fleet.clock.advance(200);
    assert.is(fleet.workers.starts.length, 3 * slotsPerWorker);
    const atDispatcher = fleet.workers.starts.filter(
      ({ workerId }) => shardOf(workerId, shardCount) === 1,
    );
    assert.is(atDispatcher.length, 2 * slotsPerWorker);
    fleet.kill(requester.address);
    const killedAtMs = fleet.clock.nowMs();
    for (let round = 0; round < 10; round += 1) {
      void fleet.submit(dispatcher.address, createJob(2 + round, 'small', slotsPerWorker + 1));
      await fleet.clock.advance(150);
      if (resumesAfterMs !== undefined && round === Math.floor(resumesAfterMs / 150)) {
        fleet.start({ ...requester, incarnation: `requester-${round}` });
        fleet.kill(requester.address);
      }
    }
    for (const { taskName } of atDispatcher) {
      const stop = fleet.stops.find((one) => one.taskName === taskName);
      assert.ok(stop, `${taskName} is not stopped`);
      assert.ok(stop.atMs - killedAtMs < callerResendMs, `after ${stop.atMs - killedAtMs} ms`);
    }
    await fleet.close();
  }
});

test.run();
