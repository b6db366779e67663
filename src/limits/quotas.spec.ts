import fc from 'fast-check';
import { Ok } from 'ts-results-es';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Quota } from '../types/configuration.js';
import type { Configuration } from '../types/configuration.js';
import { DaemonFixture } from '../testing/daemonFixture.js';
import { createCaller, createConfiguration, createSubmission } from '../testing/fixtures.js';

const counter = createCaller('counter');
const member = createCaller('member');
const vmIds = ['muenchen-vm1', 'muenchen-vm2', 'muenchen-vm3'];
/** Time after which every share is in force. */
const settledMs = 10_000;
const fitMs = 100;
/** Starts that the buckets allow at once: one for each daemon, or a tenth of a second. */
const burstStarts = vmIds.length;

const createQuotaConfiguration = (quota: Omit<Quota, 'teamId'>): Configuration => {
  const configuration = createConfiguration({ workersPerFailureDomain: 6, slots: 4 });
  configuration.rules.quotas = [{ teamId: counter.teamId, ...quota }];
  configuration.inventory.callers.push(member);
  return configuration;
};

/** Counts what the team with the quota runs, over all daemons. */
class QuotaWatch {
  readonly startsAtMs: number[] = [];
  running = 0;
  maxRunning = 0;

  private constructor(private readonly fixture: DaemonFixture) {}

  static create(fixture: DaemonFixture): QuotaWatch {
    const watch = new QuotaWatch(fixture);
    fixture.endpoints.behaviour = async (_endpoint, start) => {
      const isCounted = start.operation === 'fit';
      if (isCounted) {
        watch.begin();
      }
      const reply = await fixture.endpoints.runFor(start, fitMs);
      watch.running -= isCounted ? 1 : 0;
      return reply;
    };
    return watch;
  }

  /** @returns the most starts in any span of time */
  maxStartsWithin(spanMs: number): number {
    const starts = this.startsAtMs;
    return Math.max(
      0,
      ...starts.map((fromMs) => starts.filter((at) => at >= fromMs && at < fromMs + spanMs).length),
    );
  }

  countSince(fromMs: number): number {
    return this.startsAtMs.filter((at) => at >= fromMs).length;
  }

  private begin(): void {
    this.startsAtMs.push(this.fixture.clock.nowMs());
    this.running += 1;
    this.maxRunning = Math.max(this.maxRunning, this.running);
  }
}

const createQuotaFixture = async (quota: Omit<Quota, 'teamId'>) => {
  const fixture = await DaemonFixture.create(vmIds, createQuotaConfiguration(quota));
  const watch = QuotaWatch.create(fixture);
  await fixture.clock.advance(settledMs);
  return { fixture, watch };
};

let keys = 0;
const submit = (fixture: DaemonFixture, vmId: string, tasks: number, deadlineMs = 60_000) => {
  const daemon = fixture.daemon(vmId);
  keys += 1;
  const submission = createSubmission('fit', new Array(tasks).fill(keys), deadlineMs);
  return daemon.submit(counter, `${daemon.owner()}~${keys}`, Ok(submission));
};

test('keeps the starts and slots of a team within its quota over all daemons', async () => {
  const { fixture, watch } = await createQuotaFixture({ startsPerS: 30, slots: 5 });
  vmIds.forEach((vmId) => void submit(fixture, vmId, 100));
  await fixture.clock.advance(8_000);
  assert.ok(watch.startsAtMs.length >= 200, `${watch.startsAtMs.length} starts`);
  assert.ok(watch.maxStartsWithin(1_000) <= 30 + burstStarts, `${watch.maxStartsWithin(1_000)}`);
  assert.ok(watch.maxRunning <= 5, `${watch.maxRunning} slots`);
  await fixture.close();
});

test('gives a daemon that has all the work of a team what the others do not use', async () => {
  const { fixture, watch } = await createQuotaFixture({ startsPerS: 30, slots: 5 });
  void submit(fixture, 'muenchen-vm2', 200);
  await fixture.clock.advance(3_000);
  const fromMs = fixture.clock.nowMs();
  await fixture.clock.advance(3_000);
  // Its own share alone would be 30 starts in 3 s.
  assert.ok(watch.countSince(fromMs) >= 80, `${watch.countSince(fromMs)} starts`);
  assert.ok(watch.maxRunning <= 5, `${watch.maxRunning} slots`);
  await fixture.close();
});

test('stays within the quota when a daemon is cut off, with its own share going on', async () => {
  const { fixture, watch } = await createQuotaFixture({ startsPerS: 30, slots: 6 });
  vmIds.forEach((vmId) => void submit(fixture, vmId, 230));
  await fixture.clock.advance(2_000);
  fixture.network.setCut('muenchen-vm1', 'muenchen-vm2', true);
  fixture.network.setCut('muenchen-vm1', 'muenchen-vm3', true);
  const cutAtMs = fixture.clock.nowMs();
  await fixture.clock.advance(12_000);
  assert.ok(watch.countSince(cutAtMs) >= 12 * 25, `${watch.countSince(cutAtMs)} starts`);
  assert.ok(watch.maxStartsWithin(1_000) <= 30 + burstStarts, `${watch.maxStartsWithin(1_000)}`);
  assert.ok(watch.maxRunning <= 6, `${watch.maxRunning} slots`);
  await fixture.close();
});

for (const isCut of [false, true]) {
  test(`takes back what it lent before it uses it, borrower ${isCut ? 'cut off' : 'heard'}`, async () => {
    const { fixture, watch } = await createQuotaFixture({ startsPerS: 30, slots: 6 });
    void submit(fixture, 'muenchen-vm2', 230);
    await fixture.clock.advance(3_500);
    fixture.network.setCut('muenchen-vm1', 'muenchen-vm2', isCut);
    fixture.network.setCut('muenchen-vm2', 'muenchen-vm3', isCut);
    void submit(fixture, 'muenchen-vm1', 230);
    void submit(fixture, 'muenchen-vm3', 230);
    await fixture.clock.advance(9_000);
    assert.ok(watch.maxStartsWithin(1_000) <= 30 + burstStarts, `${watch.maxStartsWithin(1_000)}`);
    assert.ok(watch.maxRunning <= 6, `${watch.maxRunning} slots`);
    const fromMs = fixture.clock.nowMs() - 3_000;
    assert.ok(watch.countSince(fromMs) >= 75, `${watch.countSince(fromMs)} starts at the end`);
    await fixture.close();
  });
}

test('lets a team over its quota hurt only itself', async () => {
  const { fixture } = await createQuotaFixture({ startsPerS: 30, slots: 5 });
  vmIds.forEach((vmId) => void submit(fixture, vmId, 230));
  const daemon = fixture.daemon('muenchen-vm1');
  for (let i = 0; i < 10; i += 1) {
    const startedAtMs = fixture.clock.nowMs();
    const key = `${daemon.owner()}~member${i}`;
    const outcome = daemon.submit(member, key, Ok(createSubmission('grade', [1, 2, 3])));
    await fixture.clock.advance(fitMs);
    assert.is((await outcome).kind, 'answered');
    assert.is(fixture.clock.nowMs() - startedAtMs, fitMs);
  }
  const refused = await submit(fixture, 'muenchen-vm1', 230, 2_000);
  assert.is(refused.kind === 'refused' && refused.problem.kind, 'over-quota');
  assert.is(refused.kind === 'refused' && refused.problem.runState, 'not-run');
  await fixture.close();
});

test('holds queued work to a quota that a new configuration lowers', async () => {
  const { fixture, watch } = await createQuotaFixture({ startsPerS: 30, slots: 6 });
  vmIds.forEach((vmId) => void submit(fixture, vmId, 230));
  await fixture.clock.advance(2_000);
  await fixture.publish(2, createQuotaConfiguration({ startsPerS: 6, slots: 3 }));
  await fixture.clock.advance(3_000);
  const fromMs = fixture.clock.nowMs();
  await fixture.clock.advance(5_000);
  const starts = watch.countSince(fromMs);
  assert.ok(starts <= 30 + burstStarts && starts >= 20, `${starts} starts`);
  await fixture.close();
});

/** What may happen between two spans of load. */
const eventArbitrary = fc.oneof(
  fc.record({
    kind: fc.constant('load' as const),
    vm: fc.nat(3),
    tasks: fc.integer({ min: 1, max: 60 }),
  }),
  fc.record({ kind: fc.constant('cut' as const), a: fc.nat(3), b: fc.nat(3), isCut: fc.boolean() }),
  fc.record({ kind: fc.constant('join' as const) }),
  fc.record({ kind: fc.constant('list' as const), isOut: fc.boolean() }),
);

test('never exceeds the quota, whatever is cut, joins or is out', async () => {
  const events = fc.array(fc.tuple(eventArbitrary, fc.integer({ min: 100, max: 3_000 })), {
    minLength: 8,
    maxLength: 14,
  });
  const property = fc.asyncProperty(events, async (steps) => {
    const { fixture, watch } = await createQuotaFixture({ startsPerS: 30, slots: 5 });
    for (const [event, pauseMs] of steps) {
      const names = [...fixture.daemons.keys()];
      switch (event.kind) {
        case 'load':
          void submit(fixture, names[event.vm % names.length] ?? '', event.tasks);
          break;
        case 'cut':
          fixture.network.setCut(names[event.a] ?? 'a', names[event.b] ?? 'b', event.isCut);
          break;
        case 'join':
          if (names.length === vmIds.length) {
            fixture.start('muenchen-vm0');
          }
          break;
        case 'list':
          fixture.vmList.isOut = event.isOut;
          break;
      }
      await fixture.clock.advance(pauseMs);
    }
    await fixture.close();
    assert.ok(watch.maxRunning <= 5, `${watch.maxRunning} slots`);
    const burst = burstStarts + 1;
    assert.ok(watch.maxStartsWithin(1_000) <= 30 + burst, `${watch.maxStartsWithin(1_000)} starts`);
  });
  await fc.assert(property, { seed: 11, numRuns: 15 });
});

test.run();
