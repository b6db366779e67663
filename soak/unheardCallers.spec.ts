import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { planSeed } from './faultSeries.js';
import type { Fault, PlannedRequest } from './faults.js';
import { createSeriesContext } from './seriesContext.js';
import { planUnheardCallers } from './unheardCallers.js';

const options = { daemons: 4, workers: 6 };
const seeds = Array.from({ length: 200 }, (_, index) => index + 1);
/** Time after which a caller sends its job again, in milliseconds. */
const resendMs = 1_300;
/** Fewest jobs that come at the same time, so that connections wait for a daemon that runs for a few milliseconds. */
const minWaitingJobs = 20;

/** Plans one member of the series. */
const planOne = (seed: number): Fault[] =>
  planUnheardCallers(0, createSeriesContext(seed, { ...options, windowMs: 8_000 })).map(
    ({ fault }) => fault,
  );

const requestsOf = (faults: readonly Fault[]): PlannedRequest[] =>
  faults.flatMap((fault) => (fault.kind === 'request' ? [fault.request] : []));

/** How the callers of a member leave unheard. */
const troubleOf = (faults: readonly Fault[]): string =>
  faults
    .flatMap((fault) => {
      if (fault.kind === 'slow') {
        return fault.periodMs - fault.pausedMs <= 20 ? ['waiting'] : ['slow'];
      }
      return fault.kind === 'link' && fault.place === 'callers' ? [fault.fault.kind] : [];
    })
    .join('+');

// Guards against a soak whose callers' first attempts are over before the second ones begin.
test('callers leave early, and their runs would still be at work when they send again', () => {
  const isSameDomain = new Set<boolean>();
  for (const seed of seeds) {
    const early = requestsOf(planOne(seed)).filter((job) => job.leavesAfterMs !== undefined);
    assert.ok(early.length > 0);
    early.forEach(({ daemon, nextDaemon, deadlineMs, estimatedMs, runMs, leavesAfterMs = 0 }) => {
      assert.is.not(nextDaemon, daemon);
      isSameDomain.add(nextDaemon < 2 === daemon < 2);
      assert.ok(Math.min(runMs, deadlineMs - leavesAfterMs) > resendMs);
      assert.ok(estimatedMs < deadlineMs);
    });
  }
  assert.equal([...isSameDomain].sort(), [false, true]);
});

// Guards against a soak in which every connection is accepted at once, and in which each end of one is heard.
test('the ends of connections are lost, and connections wait to be accepted, alone and together', () => {
  const troubles = new Set<string>();
  for (const seed of seeds) {
    const faults = planOne(seed);
    const trouble = troubleOf(faults);
    troubles.add(trouble);
    if (trouble.includes('waiting')) {
      assert.ok(requestsOf(faults).length >= minWaitingJobs);
      assert.ok(faults.some((fault) => fault.kind === 'reset' && fault.place === 'callers'));
    }
  }
  const expected = ['lost-ends', 'lost-ends+slow', 'waiting', 'lost-ends+waiting'];
  assert.equal([...troubles].sort(), expected.sort());
});

test('a seed of the plan has a member also in a short window', () => {
  const planned = planSeed('unheard-callers', { ...options, seed: 1, faultWindowMs: 2_000 });
  assert.ok(planned.some(({ fault }) => fault.kind === 'request'));
});

test.run();
