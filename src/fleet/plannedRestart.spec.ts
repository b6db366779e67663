import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { silentLogger } from '../testing/silentLogger.js';
import { ModelFleet } from '../testing/model/modelFleet.js';
import { storeName } from '../testing/model/modelStore.js';
import { createScenario } from '../testing/model/scenarios.js';

const workerCount = 8;
const samplePeriodMs = 10;

/** A fleet in one failure domain, and samples of how many workers have a dispatcher that starts tasks on them. */
const createFleet = async () => {
  const daemons = ['east', 'east', 'east', 'east'];
  const scenario = createScenario(daemons, [['east', workerCount]], []);
  const fleet = await ModelFleet.create(scenario, () => silentLogger);
  const countUnserved = (): number =>
    workerCount -
    fleet.daemons.reduce((sum, { current }) => sum + (current?.daemon.openWorkerCount ?? 0), 0);
  /** Lets a time pass, in milliseconds, and returns the samples. */
  const sampleFor = async (durationMs: number): Promise<number[]> => {
    const samples: number[] = [];
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += samplePeriodMs) {
      await fleet.time.advance(samplePeriodMs);
      samples.push(countUnserved());
    }
    return samples;
  };
  return { fleet, countUnserved, sampleFor };
};

/** Length of the longest period with a worker that has no dispatcher, in milliseconds. */
const longestGapMs = (samples: readonly number[]): number => {
  let longest = 0;
  let length = 0;
  for (const unserved of samples) {
    length = unserved > 0 ? length + samplePeriodMs : 0;
    longest = Math.max(longest, length);
  }
  return longest;
};

// Guards against workers that nobody dispatches to from the begin of a planned stop until the store and the next owner have acted.
test('idle workers of a daemon that leaves change hands within 0.1 s each, at most two at a time', async () => {
  const { fleet, countUnserved, sampleFor } = await createFleet();
  assert.is(countUnserved(), 0);
  void fleet.daemons[1]?.stop();
  const samples = await sampleFor(6_000);
  assert.ok(Math.max(...samples) <= 2, `${Math.max(...samples)} workers`);
  assert.ok(longestGapMs(samples) <= 100, `${longestGapMs(samples)} ms`);
  assert.is(countUnserved(), 0);
  fleet.close();
});

// Guards against a restarted daemon whose share of the workers is served by nobody until it takes them over, or late.
test('a daemon that comes back gets its share within 2 s, and no worker is closed for longer than 0.1 s', async () => {
  const { fleet, sampleFor } = await createFleet();
  void fleet.daemons[1]?.stop();
  await sampleFor(7_000);
  fleet.daemons[1]?.start();
  const samples = await sampleFor(2_000);
  assert.ok(Math.max(...samples) <= 2, `${Math.max(...samples)} workers`);
  assert.ok(longestGapMs(samples) <= 100, `${longestGapMs(samples)} ms`);
  assert.ok((fleet.daemons[1]?.current?.daemon.openWorkerCount ?? 0) > 0);
  fleet.close();
});

// Guards against a hand-over that waits for ever for a daemon which asked for workers and is gone.
test('when the daemon that takes over is killed midway, others have its workers within 4 s', async () => {
  const { fleet, countUnserved, sampleFor } = await createFleet();
  void fleet.daemons[1]?.stop();
  await sampleFor(300);
  fleet.daemons[2]?.kill();
  await sampleFor(4_000);
  assert.is(countUnserved(), 0);
  fleet.close();
});

// Guards against a daemon that stops serving its workers though nobody can take them over.
test('while the store does not answer, a daemon that leaves goes on until its runs have to end', async () => {
  const { fleet, sampleFor } = await createFleet();
  for (const { address } of fleet.daemons) {
    fleet.network.setFault(address, storeName, 'silent');
  }
  void fleet.daemons[1]?.stop();
  const samples = await sampleFor(3_500);
  assert.is(Math.max(...samples), 0);
  fleet.close();
});

// Guards against workers that wait for the next renewal of a new daemon after the earlier memberships have expired.
test('after the loss of all daemons the workers are served within 0.2 s of the end of the earlier memberships', async () => {
  for (const phaseMs of [0, 150, 300, 450]) {
    const { fleet, countUnserved, sampleFor } = await createFleet();
    await sampleFor(1_000 + phaseMs);
    fleet.daemons.forEach((daemon) => daemon.kill());
    await sampleFor(100);
    fleet.daemons.forEach((daemon) => daemon.start());
    await sampleFor(2_100);
    assert.is(countUnserved(), 0, `phase ${phaseMs} ms`);
    fleet.close();
  }
});

test.run();
