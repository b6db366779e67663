import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createDispatcherFixture, patientBatch, runToEnd } from '../testing/dispatcherFixture.js';
import type { DispatcherFixture } from '../testing/dispatcherFixture.js';
import { silentLogger } from '../testing/silentLogger.js';
import type { TaskEnd } from '../types/dispatch.js';
import { FakeClock } from '../testing/fakeClock.js';
import { stopAheadMs, handOverWorkers, yieldAheadMs } from './workerHandOver.js';

const taskCount = 3;
const endInMs = 2_000;

interface StopResult {
  readonly ends: readonly TaskEnd[];
  /** Ends of tasks at the time at which the shards were given up. */
  readonly endsAtLeave: number;
  readonly leftAtMs: number;
  /** Orders that workers received after that. */
  readonly laterOrders: number;
}

/** Stops a dispatcher as planned while tasks run on its workers, and disturbs it before that. */
const stopWith = async (
  runMs: number,
  disturb: (fixture: DispatcherFixture) => unknown,
): Promise<StopResult & { readonly fixture: DispatcherFixture }> => {
  const fixture = await createDispatcherFixture({ workerCount: 3, runMs });
  const { clock, dispatcher, workers } = fixture;
  let ends: readonly TaskEnd[] = [];
  const batch = patientBatch(taskCount, { estimatedMs: runMs });
  void dispatcher.run('vm', batch).then((reply) => (ends = reply.ends));
  await clock.advance(200);
  void disturb(fixture);
  let endsAtLeave = 0;
  let leftAtMs = 0;
  let ordersAtLeave = 0;
  const startedAtMs = clock.nowMs();
  void handOverWorkers(
    { clock, logger: silentLogger },
    {
      canYield: () => false,
      yieldWorkers: () => Promise.reject(new Error('not to be called')),
      releaseWorkers: () => dispatcher.setWorkers([], 1),
      stopRuns: () => dispatcher.stopRuns(),
      closeDispatcher: () => dispatcher.close(),
      leaveShards: async () => {
        endsAtLeave = ends.length;
        leftAtMs = clock.nowMs() - startedAtMs;
        ordersAtLeave = workers.orderCount;
      },
    },
    startedAtMs + endInMs,
  );
  await clock.advance(endInMs * 2);
  return { ends, endsAtLeave, leftAtMs, laterOrders: workers.orderCount - ordersAtLeave, fixture };
};

const kinds = (ends: readonly TaskEnd[]): string[] => ends.map(({ kind }) => kind);

// Guards against tasks that start elsewhere while the daemon that returned them still has their runs.
test('runs that are at work before the end are stopped, and their tasks returned after that', async () => {
  const { ends, endsAtLeave, leftAtMs, laterOrders, fixture } = await stopWith(
    10_000,
    () => undefined,
  );
  assert.equal(kinds(ends), ['returned', 'returned', 'returned']);
  assert.is(endsAtLeave, taskCount);
  assert.ok(leftAtMs >= endInMs - stopAheadMs && leftAtMs < endInMs);
  assert.is(fixture.workers.runCount, 0);
  assert.is(laterOrders, 0);
});

// Guards against a requester that starts tasks again whose runs go on at a worker that is cut off.
test('tasks whose runs may go on are not returned, and no order goes out after the shards are given up', async () => {
  const { ends, leftAtMs, laterOrders, fixture } = await stopWith(10_000, ({ workers, clock }) => {
    const cut = async (): Promise<void> => {
      await clock.sleep(endInMs - stopAheadMs);
      await workers.cutOff(workers.starts[0]?.workerId ?? '', 60_000);
    };
    void cut();
  });
  const returned = ends.flatMap((end) => (end.kind === 'returned' ? [end.task.index] : []));
  assert.is(returned.length + kinds(ends).filter((kind) => kind === 'withdrawn').length, taskCount);
  assert.ok(kinds(ends).includes('withdrawn'));
  const running = fixture.workers.runningTaskNames();
  assert.ok(returned.every((index) => running.every((name) => !name.endsWith(`.${index}`))));
  // Orders that are under way end first.
  assert.ok(leftAtMs >= endInMs && leftAtMs < endInMs + 200);
  assert.is(laterOrders, 0);
});

// Guards against a hand-over that takes longer than the runs do.
test('a daemon whose runs end leaves at once', async () => {
  const { ends, leftAtMs } = await stopWith(500, () => undefined);
  assert.equal(kinds(ends), ['done', 'done', 'done']);
  assert.ok(leftAtMs < 800);
});

// Guards against tasks that a daemon which ends at once returns as ones that run nowhere.
test('a dispatcher that is closed returns no task whose run is at work', async () => {
  const fixture = await createDispatcherFixture({ workerCount: 3, runMs: 10_000 });
  const ended = runToEnd(fixture, patientBatch(taskCount, { estimatedMs: 10_000 }), 500);
  void fixture.clock.sleep(300).then(() => fixture.dispatcher.close());
  assert.equal(kinds(await ended), ['withdrawn', 'withdrawn', 'withdrawn']);
  await fixture.clock.advance(2_000);
});

/** Hands over on request, with a release that takes a time, and returns the steps with their times. */
const yieldFor = async (releaseMs: number): Promise<readonly string[]> => {
  const clock = FakeClock.create();
  const steps: string[] = [];
  const step = (name: string): void => void steps.push(`${name} ${clock.nowMs()}`);
  const steppedAsync = async (name: string): Promise<void> => step(name);
  void handOverWorkers(
    { clock, logger: silentLogger },
    {
      canYield: () => true,
      yieldWorkers: async (untilMs) => {
        step(`yield until ${untilMs}`);
        await clock.sleep(releaseMs);
      },
      releaseWorkers: () => Promise.reject(new Error('not to be called')),
      stopRuns: () => step('stop'),
      closeDispatcher: () => steppedAsync('close'),
      leaveShards: () => steppedAsync('leave'),
    },
    endInMs,
  ).then(() => step('end'));
  await clock.advance(endInMs * 2);
  return steps;
};

// Guards against shards that are given up only after the runs have ended, so that nobody serves their workers meanwhile.
test('shards are given up first where others ask for workers, and the dispatcher is closed last', async () => {
  const untilMs = endInMs - stopAheadMs - yieldAheadMs;
  const begin = ['leave 0', `yield until ${untilMs} 0`];
  assert.equal(await yieldFor(400), [...begin, 'close 400', 'end 400']);
  const late = [`stop ${endInMs - stopAheadMs}`, `close ${endInMs}`, `end ${endInMs}`];
  assert.equal(await yieldFor(60_000), [...begin, ...late]);
});

test.run();
