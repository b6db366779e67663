import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { planSeed } from './faultSeries.js';
import { troubledWorker } from './faults.js';
import type { Fault, PlannedFault } from './faults.js';

const options = { daemons: 4, workers: 6, faultWindowMs: 12_000 };
const seeds = Array.from({ length: 100 }, (_, index) => index + 1);

const isDaemonTrouble = (fault: Fault): boolean =>
  ['kill', 'kill-again', 'pause'].includes(fault.kind) ||
  (fault.kind === 'link' && fault.place !== 'worker');

/** The time of the last trouble of a daemon before a trouble of a worker, and that daemon. */
const troubleBefore = (planned: readonly PlannedFault[], atMs: number) =>
  planned.filter((one) => one.atMs <= atMs && isDaemonTrouble(one.fault)).at(-1);

// Guards against a series whose workers are in trouble at other times or places than its daemons.
test('workers are in trouble beside a daemon, at most 1.9 s after it, and jobs are at work there then', () => {
  let workerFaults = 0;
  for (const seed of seeds) {
    const planned = planSeed('daemon-and-worker', { ...options, seed });
    for (const { atMs, fault } of planned) {
      const worker = troubledWorker(fault);
      if (worker === undefined) {
        continue;
      }
      workerFaults += 1;
      const trouble = troubleBefore(planned, atMs);
      assert.ok(trouble);
      const delayMs = atMs - trouble.atMs;
      assert.ok(delayMs <= (fault.kind === 'worker-crash' ? 1_900 : 1_200), `${delayMs} ms`);
      const daemon = 'daemon' in trouble.fault ? trouble.fault.daemon : indexOf(trouble.fault);
      assert.is(worker < options.workers / 2, Number(daemon) < options.daemons / 2);
      const jobs = planned.filter(
        (one) =>
          one.fault.kind === 'request' &&
          one.fault.request.daemon === daemon &&
          one.atMs < trouble.atMs &&
          one.atMs >= trouble.atMs - 900,
      );
      assert.is(jobs.length, 3);
    }
  }
  assert.ok(workerFaults > seeds.length);
});

const indexOf = (fault: Fault): number | undefined =>
  fault.kind === 'link' ? fault.index : undefined;

test.run();
