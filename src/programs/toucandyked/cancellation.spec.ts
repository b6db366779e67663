import { setTimeout as sleep } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { request } from 'undici';
import { PlatformFixture } from '../../../standins/platform/platformFixture.js';
import { fixtureHost, fixturePrefix } from '../../../standins/platform/routes.js';
import type { PlatformProcess } from './platformProcess.js';

const jobId = '00000000000000c1';
const taskCount = 2;
/** Longest time until all tasks run, in milliseconds. */
const maxStartMs = 10_000;

const cancelAt = async ({ callersAddress }: PlatformProcess) => {
  const response = await request(`http://${callersAddress}${fixturePrefix}${jobId}`, {
    method: 'DELETE',
    headers: { host: fixtureHost },
  });
  return { status: response.statusCode, body: await response.body.json() };
};

// Guards against a job that runs to its end, since its cancellation reached another daemon.
test('a cancellation that reaches another daemon stops the job, and a late copy of it is not started', async () => {
  const fixture = await PlatformFixture.create({
    daemons: ['east', 'east', 'west'],
    workers: ['east', 'west'],
  });
  try {
    const [receiver, neighbour, far] = fixture.daemons;
    assert.ok(receiver && neighbour && far);
    const answer = fixture.submit(receiver, jobId, { tasks: taskCount, runMs: 1_200 });
    answer.catch(() => undefined);
    const startedByMs = performance.now() + maxStartMs;
    while (fixture.starts().length < taskCount && performance.now() < startedByMs) {
      await sleep(20);
    }
    assert.is(fixture.starts().length, taskCount);
    assert.equal(await cancelAt(far), { status: 200, body: { state: 'cancelled' } });
    const stoppedByMs = performance.now() + 300;
    assert.equal((await answer).body, { state: 'cancelled' });
    while (
      fixture.starts().some(({ outcome }) => outcome === undefined) &&
      performance.now() < stoppedByMs
    ) {
      await sleep(20);
    }
    assert.ok(fixture.starts().every(({ outcome }) => outcome === 'stopped'));
    const startCount = fixture.starts().length;
    for (const daemon of [receiver, neighbour, far]) {
      const late = await fixture.submit(daemon, jobId, { tasks: taskCount, runMs: 1_200 });
      assert.equal(late.body, { state: 'cancelled' });
    }
    assert.is(fixture.starts().length, startCount);
  } finally {
    await fixture.close();
  }
});

test.run();
