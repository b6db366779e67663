import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { batchFixture } from '../testing/dispatchFixtures.js';
import { FakeClock } from '../testing/fakeClock.js';
import { createRun } from './activeRun.js';
import { OpenBatch } from './openBatch.js';
import { UnansweredStarts } from './unansweredStarts.js';

// Guards against stops of runs that nobody started, and against memory that grows with unanswered starts.
test('each lifetime is told once of the unanswered starts that may still arrive', async () => {
  const clock = FakeClock.create();
  const starts = UnansweredStarts.create(clock);
  const [task] = OpenBatch.create('vm', batchFixture, 0).tasks;
  assert.ok(task);
  const needs = batchFixture.needs.resources;
  const create = (taskName: string) =>
    createRun({ task, taskName, needs, expectedMs: 100 }, clock.nowMs());
  const namesFor = (lifetimeMs: number): string[] =>
    starts.takeFor(lifetimeMs).map(({ taskName }) => taskName);
  starts.remember(create('a'));
  starts.remember({ ...create('answered'), startedAtMs: 1 });
  assert.equal(namesFor(1), ['a']);
  assert.equal(namesFor(1), []);
  await clock.advance(6_000);
  starts.remember(create('b'));
  assert.equal(namesFor(2), ['a', 'b']);
  await clock.advance(6_000);
  assert.equal(namesFor(3), ['b']);
  Array.from({ length: 1_000 }, (_, index) => starts.remember(create(`many ${index}`)));
  assert.ok(namesFor(4).length < 300);
});

test.run();
