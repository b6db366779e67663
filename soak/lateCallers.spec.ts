import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { planSeed } from './faultSeries.js';
import { troubledWorker } from './faults.js';
import type { PlannedFault } from './faults.js';
import { planLateCallers } from './lateCallers.js';
import { createSeriesContext } from './seriesContext.js';

const options = { daemons: 4, workers: 6 };
const seeds = Array.from({ length: 200 }, (_, index) => index + 1);

/** Plans one member of the series. */
const planOne = (seed: number): PlannedFault[] =>
  planLateCallers(0, createSeriesContext(seed, { ...options, windowMs: 8_000 }));

/** The kinds of trouble between a daemon and its callers, and that daemon. */
const callerTrouble = (planned: readonly PlannedFault[]) => {
  const faults = planned.flatMap(({ fault }) =>
    fault.kind === 'slow' || (fault.kind === 'link' && fault.place === 'callers') ? [fault] : [],
  );
  const kinds = faults.map((fault) => (fault.kind === 'slow' ? 'slow' : fault.fault.kind));
  const daemons = faults.map((fault) => (fault.kind === 'slow' ? fault.daemon : fault.index));
  return { faults, kinds, daemon: daemons[0] ?? -1 };
};

// Guards against troubles that the users' rules do not know, such as a link that is late by minutes.
test('requests are late by 0.3 to 2 s, and a slow daemon is paused for 60 to 300 ms of each 100 to 400 ms', () => {
  const combinations = new Set<string>();
  for (const seed of seeds) {
    const { faults, kinds } = callerTrouble(planOne(seed));
    combinations.add(kinds.join('+'));
    for (const fault of faults) {
      if (fault.kind === 'slow') {
        assert.ok(fault.pausedMs >= 60 && fault.pausedMs <= 300);
        assert.ok(fault.periodMs >= 100 && fault.periodMs <= 400);
        assert.ok(fault.periodMs > fault.pausedMs);
      } else if (fault.fault.kind === 'late-requests') {
        assert.ok(fault.fault.delayMs >= 300 && fault.fault.delayMs <= 2_000);
      }
    }
  }
  assert.equal(
    [...combinations].sort(),
    ['late-requests', 'late-requests+slow', 'lost-ends', 'lost-ends+slow', 'slow'].sort(),
  );
});

// Guards against a series whose workers are in trouble at times or places at which no job of a late caller runs.
test('workers are in trouble as callers of the daemon leave, and the next attempts go to the other domain', () => {
  let earlyCallers = 0;
  for (const seed of seeds) {
    const planned = planOne(seed);
    const { daemon } = callerTrouble(planned);
    const requests = planned.flatMap(({ atMs, fault }) =>
      fault.kind === 'request' ? [{ atMs, ...fault.request }] : [],
    );
    const jobs = requests.filter((request) => request.daemon === daemon);
    assert.is(jobs.length, 3);
    requests.forEach((request) => {
      assert.is.not(request.nextDaemon < 2, request.daemon < 2);
      assert.ok((request.leavesAfterMs ?? 0) <= request.deadlineMs);
      earlyCallers += request.leavesAfterMs === undefined ? 0 : 1;
    });
    const leftAtMs = jobs.map((job) => job.atMs + (job.leavesAfterMs ?? job.deadlineMs));
    for (const { atMs, fault } of planned) {
      const worker = troubledWorker(fault);
      if (worker === undefined) {
        continue;
      }
      const latestMs = fault.kind === 'worker-crash' ? 2_000 : 1_300;
      assert.ok(leftAtMs.some((left) => atMs >= left - 300 && atMs <= left + latestMs));
      assert.is(worker < options.workers / 2, daemon < options.daemons / 2);
    }
  }
  assert.ok(earlyCallers > seeds.length);
});

test('a seed of the plan has several members in some seconds', () => {
  const planned = planSeed('late-callers', { ...options, seed: 1, faultWindowMs: 8_000 });
  assert.ok(planned.filter(({ fault }) => fault.kind === 'request').length >= 8);
});

test.run();
