import { once } from 'node:events';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { PlatformFixture } from '../../../standins/platform/platformFixture.js';
import type { PlatformFixtureOptions } from '../../../standins/platform/platformFixture.js';

const twoZones: PlatformFixtureOptions = {
  daemons: ['east', 'east', 'west'],
  workers: ['east', 'east', 'west', 'west'],
};

const withPlatform = async (
  options: PlatformFixtureOptions,
  run: (fixture: PlatformFixture) => Promise<void>,
): Promise<void> => {
  const fixture = await PlatformFixture.create(options);
  try {
    await run(fixture);
  } finally {
    await fixture.close();
  }
};

const jobId = (number: number): string => number.toString(16).padStart(16, '0');

test('distributes a job over the workers of all dispatchers and answers it when it has ended', () =>
  withPlatform(twoZones, async (fixture) => {
    const [daemon] = fixture.daemons;
    assert.ok(daemon);
    const answer = await fixture.submit(daemon, jobId(1), { tasks: 8, runMs: 100 });
    assert.is(answer.status, 200);
    assert.equal(answer.body, { state: 'completed' });
    const starts = fixture.starts();
    assert.is(starts.length, 8);
    assert.is(new Set(starts.map(({ workerId }) => workerId)).size, 4);
    assert.ok(starts.every(({ outcome: how }) => how === 'done'));
  }));

test('one daemon dispatches to each worker, and its successor uses a higher fencing token', () =>
  withPlatform(twoZones, async (fixture) => {
    const [daemon, leaving] = fixture.daemons;
    assert.ok(daemon && leaving);
    await fixture.submit(daemon, jobId(1), { tasks: 8, runMs: 60 });
    const before = Math.max(...fixture.starts().map(({ token }) => token));
    await leaving.close();
    fixture.daemons.splice(1, 1);
    await fixture.waitUntilServing(4);
    const answer = await fixture.submit(daemon, jobId(2), { tasks: 8, runMs: 60 });
    assert.is(answer.status, 200);
    const eastern = fixture
      .starts()
      .filter(
        ({ task, workerId }) => task.startsWith(jobId(2)) && ['i-0', 'i-1'].includes(workerId),
      );
    assert.ok(eastern.every(({ token }) => token > before));
  }));

test('refuses requests that are not valid, and starts no task for them', () =>
  withPlatform({ daemons: ['east'], workers: ['east'] }, async (fixture) => {
    const [daemon] = fixture.daemons;
    assert.ok(daemon);
    const step = { count: 1, cpu: 1_000, estimatedMs: 50 };
    const job = { taskSpec: '{}', steps: [step], bestEffort: true };
    const send = async (path: string, body: unknown): Promise<number> =>
      (await fixture.post(daemon, path, body)).status;
    assert.is(await send('/fit/0123', job), 400);
    assert.is(await send(`/fit/${jobId(1)}`, '{"steps":'), 400);
    assert.is(await send(`/fit/${jobId(1)}`, { ...job, steps: [] }), 400);
    assert.is(await send(`/fit/${jobId(1)}`, { ...job, steps: [{ ...step, count: -1 }] }), 400);
    assert.is(await send(`/fit/${jobId(1)}`, { ...job, steps: [{ ...step, after: [0] }] }), 400);
    assert.is(await send(`/fit/${jobId(1)}`, { ...job, taskSpec: 'x'.repeat(4_001) }), 413);
    assert.is(await send(`/fit/${jobId(1)}`, { ...job, taskSpec: 'x'.repeat(300_000) }), 413);
    assert.is(await send(`/elsewhere/${jobId(1)}`, job), 404);
    const stored = await fixture.post(daemon, `/fit/${jobId(1)}`, { ...job, bestEffort: false });
    assert.is(stored.status, 503);
    assert.ok(Number(stored.retryAfter) > 0);
    assert.is(fixture.starts().length, 0);
  }));

// Guards against a job that is answered as failed though no run of it has ended, and against one that waits in vain.
test('a job that fits no listed worker is refused at once, and a task that fails on every worker fails its job', () =>
  withPlatform({ daemons: ['east'], workers: ['east', 'east', 'east'] }, async (fixture) => {
    const [daemon] = fixture.daemons;
    assert.ok(daemon);
    const huge = await fixture.submit(daemon, jobId(1), { tasks: 1, runMs: 50, cpu: 64_000 });
    assert.is(huge.status, 503);
    assert.ok(Number(huge.retryAfter) > 0);
    assert.is(fixture.starts().length, 0);
    const failing = await fixture.submit(daemon, jobId(2), { tasks: 1, runMs: 20, fails: true });
    assert.is((failing.body as { state: string }).state, 'failed');
    assert.is(fixture.starts().length, 3);
  }));

// Guards against a task that takes one worker after the other with it, and against a job that fails without proof.
test('a task that crashes its workers ends its job after two of them, and the other jobs are answered', async () => {
  // Workers that are back before and after the lease of the run could end.
  for (const restartDelayMs of [100, 1_500]) {
    const workers = Array<string>(4).fill('east');
    await withPlatform({ daemons: ['east'], workers }, async (fixture) => {
      const [daemon] = fixture.daemons;
      assert.ok(daemon);
      fixture.workers.forEach((worker) => (worker.restartDelayMs = restartDelayMs));
      const crashing = {
        tasks: 1,
        runMs: 900,
        crashes: true,
        crashAfterMs: 300,
        deadlineMs: 6_000,
      };
      for (const status of [504, 503]) {
        const answer = await fixture.submit(daemon, jobId(1), crashing);
        assert.is(answer.status, status);
        assert.is((answer.body as { state?: string }).state, undefined);
        assert.is(fixture.starts().length, 2);
      }
      const other = await fixture.submit(daemon, jobId(2), { tasks: 2, runMs: 50 });
      assert.is((other.body as { state: string }).state, 'completed');
    });
  }
});

test('stops the runs of a caller that disconnects at once', () =>
  withPlatform(twoZones, async (fixture) => {
    const [daemon] = fixture.daemons;
    assert.ok(daemon);
    const disconnect = new AbortController();
    const answer = fixture
      .submit(daemon, jobId(1), { tasks: 6, runMs: 1_000 }, disconnect.signal)
      .catch(() => undefined);
    await sleep(200);
    disconnect.abort();
    await answer;
    await sleep(200);
    assert.is(fixture.starts().length, 6);
    assert.ok(fixture.starts().every(({ outcome: how }) => how === 'stopped'));
  }));

test('the runs of a killed daemon are stopped before its callers retry', () =>
  withPlatform(twoZones, async (fixture) => {
    const [killed, other] = fixture.daemons;
    assert.ok(killed && other);
    const answer = fixture
      .submit(killed, jobId(1), { tasks: 8, runMs: 1_400 })
      .catch(() => undefined);
    await sleep(200);
    await killed.kill();
    await answer;
    fixture.daemons.splice(0, 1);
    await sleep(1_300);
    assert.ok(fixture.starts().every(({ outcome: how }) => how !== undefined));
    const again = await fixture.submit(other, jobId(1), { tasks: 4, runMs: 50 });
    assert.is(again.status, 200);
    assert.equal(fixture.tasksWithOverlappingRuns(), []);
  }));

test('a task whose run number the worker has already used is started again at once', () =>
  withPlatform({ daemons: ['east'], workers: ['east'] }, async (fixture) => {
    const [daemon] = fixture.daemons;
    assert.ok(daemon);
    const job = { tasks: 2, runMs: 60 };
    assert.equal((await fixture.submit(daemon, jobId(1), job)).body, { state: 'completed' });
    const sentAtMs = performance.now();
    assert.equal((await fixture.submit(daemon, jobId(1), job)).body, { state: 'completed' });
    assert.ok(performance.now() - sentAtMs < 300);
  }));

test('a start request without an answer never runs at the same time as its retry', () =>
  withPlatform({ daemons: ['east'], workers: ['east', 'east'] }, async (fixture) => {
    const [daemon] = fixture.daemons;
    const [slow] = fixture.workers;
    assert.ok(daemon && slow);
    slow.fault = { kind: 'late-starts', delayMs: 700 };
    const answer = await fixture.submit(daemon, jobId(1), { tasks: 2, runMs: 500 });
    assert.equal(answer.body, { state: 'completed' });
    await sleep(700);
    assert.equal(fixture.tasksWithOverlappingRuns(), []);
  }));

test('tasks of a worker that fails or hangs run on other workers', () =>
  withPlatform({ daemons: ['east'], workers: ['east', 'east', 'east'] }, async (fixture) => {
    const [daemon] = fixture.daemons;
    const [first] = fixture.workers;
    assert.ok(daemon && first);
    first.fault = { kind: 'failing' };
    const afterFailing = await fixture.submit(daemon, jobId(1), { tasks: 4, runMs: 60 });
    assert.equal(afterFailing.body, { state: 'completed' });
    first.fault = { kind: 'none' };
    await sleep(1_000);
    first.fault = { kind: 'hanging' };
    const afterHanging = await fixture.submit(daemon, jobId(2), { tasks: 4, runMs: 60 });
    assert.equal(afterHanging.body, { state: 'completed' });
    assert.equal(fixture.tasksWithOverlappingRuns(), []);
  }));

test('serves jobs while the store is unavailable, and applies a newer configuration when it is back', () =>
  withPlatform(twoZones, async (fixture) => {
    const [daemon] = fixture.daemons;
    assert.ok(daemon);
    fixture.store.fault = 'silent';
    await sleep(2_500);
    const answer = await fixture.submit(daemon, jobId(1), { tasks: 4, runMs: 60 });
    assert.equal(answer.body, { state: 'completed' });
    fixture.publishRoutes(2);
    fixture.store.fault = 'none';
    await sleep(1_500);
    const job = { taskSpec: '{}', steps: [{ count: 1 }], bestEffort: false };
    const found = await fixture.post(daemon, `/route-1/${jobId(2)}`, job);
    assert.is(found.status, 503);
  }));

test('skips worker entries that are not valid, and sends no tasks to a draining worker', () =>
  withPlatform({ daemons: ['east'], workers: ['east', 'east'] }, async (fixture) => {
    const [daemon] = fixture.daemons;
    const [first] = fixture.workers;
    assert.ok(daemon && first);
    fixture.publishRawEntry('i-odd', Buffer.from('{"service":7}'));
    fixture.publishRawEntry('i-worse', Buffer.from([0xff, 0xfe]));
    fixture.publishWorkerState(first, 'draining');
    await sleep(1_300);
    const answer = await fixture.submit(daemon, jobId(1), { tasks: 2, runMs: 60 });
    assert.equal(answer.body, { state: 'completed' });
    assert.is(first.starts.length, 0);
  }));

test('a planned shutdown answers running jobs and closes idle connections before it ends', () =>
  withPlatform(twoZones, async (fixture) => {
    const [daemon, other] = fixture.daemons;
    assert.ok(daemon && other);
    const idle = connect(Number(daemon.callersAddress.split(':')[1]), '127.0.0.1');
    const idleClosed = once(idle, 'close');
    idle.write('GET /fit/ HTTP/1.1\r\nhost: jobs.example\r\n\r\n');
    await once(idle, 'data');
    const early = fixture.submit(daemon, jobId(1), { tasks: 4, runMs: 500 });
    await sleep(50);
    const stoppedAtMs = performance.now();
    const closed = daemon.close();
    assert.not.ok(daemon.isReady);
    const late = fixture.submit(daemon, jobId(2), { tasks: 4, runMs: 100 });
    assert.equal((await early).body, { state: 'completed' });
    assert.equal((await late).body, { state: 'completed' });
    await idleClosed;
    await closed;
    assert.ok(performance.now() - stoppedAtMs < 5_500);
    fixture.daemons.splice(0, 1);
    await fixture.waitUntilServing(4);
    assert.is((await fixture.submit(other, jobId(3), { tasks: 8, runMs: 50 })).status, 200);
  }));

test('what was learned about a worker survives the loss of all daemons', () =>
  withPlatform({ daemons: ['east'], workers: ['east'] }, async (fixture) => {
    const [daemon] = fixture.daemons;
    assert.ok(daemon);
    await fixture.submit(daemon, jobId(1), { tasks: 2, runMs: 60 });
    await sleep(8_500);
    await daemon.kill();
    fixture.daemons.splice(0, 1);
    const saved = fixture.store.log('keyed.learned').items();
    assert.is(saved.length, 1);
    const lines: string[] = [];
    await fixture.addDaemon('vm-9', 'east', (line) => void lines.push(line));
    await fixture.waitUntilServing(1);
    assert.ok(lines.some((line) => line.includes('What was learned before is read.')));
  }));

test('refuses a job that cannot meet its objective at once, with a retry-after time', () =>
  withPlatform({ daemons: ['east'], workers: ['east'] }, async (fixture) => {
    const [daemon] = fixture.daemons;
    assert.ok(daemon);
    const long = fixture.submit(daemon, jobId(1), { tasks: 2, runMs: 800 });
    await sleep(100);
    const sentAtMs = performance.now();
    const refused = await fixture.submit(daemon, jobId(2), { tasks: 1, runMs: 60 });
    assert.is(refused.status, 503);
    assert.ok(Number(refused.retryAfter) >= 1);
    assert.ok(performance.now() - sentAtMs < 100);
    assert.is((await long).status, 200);
    assert.is(fixture.starts().length, 2);
  }));

test.run();
