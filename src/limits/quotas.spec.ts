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
/** Time after which every daemon has its share. */
const warmUpMs = 10_000;
/** Run time of every task of `fit`. */
const fitMs = 100;
/**
 * Starts that the token buckets allow at once: one for each daemon, or a tenth of a second of the
 * quota.
 */
const burstStarts = vmIds.length;

const createQuotaConfiguration = (quota: Omit<Quota, 'teamId'>): Configuration => {
  const configuration = createConfiguration({ workersPerFailureDomain: 6, slots: 4 });
  configuration.rules.quotas = [{ teamId: counter.teamId, ...quota }];
  configuration.inventory.callers.push(member);
  return configuration;
};

/** Records the starts and running tasks of the team with the quota, over all daemons. */
class UsageRecorder {
  readonly startsAtMs: number[] = [];
  running = 0;
  maxRunning = 0;

  private constructor(private readonly fixture: DaemonFixture) {}

  static create(fixture: DaemonFixture): UsageRecorder {
    const usage = new UsageRecorder(fixture);
    fixture.endpoints.behaviour = async (_endpoint, start) => {
      const isCounted = start.operation === 'fit';
      if (isCounted) {
        usage.recordStart();
      }
      const reply = await fixture.endpoints.runFor(start, fitMs);
      usage.running -= isCounted ? 1 : 0;
      return reply;
    };
    return usage;
  }

  /** @returns the largest number of starts in any time window of this length */
  maxStartsWithin(windowMs: number): number {
    const starts = this.startsAtMs;
    return Math.max(
      0,
      ...starts.map(
        (fromMs) => starts.filter((at) => at >= fromMs && at < fromMs + windowMs).length,
      ),
    );
  }

  countSince(fromMs: number): number {
    return this.startsAtMs.filter((at) => at >= fromMs).length;
  }

  private recordStart(): void {
    this.startsAtMs.push(this.fixture.clock.nowMs());
    this.running += 1;
    this.maxRunning = Math.max(this.maxRunning, this.running);
  }
}

const createQuotaFixture = async (quota: Omit<Quota, 'teamId'>) => {
  const fixture = await DaemonFixture.create(vmIds, createQuotaConfiguration(quota));
  const usage = UsageRecorder.create(fixture);
  await fixture.clock.advance(warmUpMs);
  return { fixture, usage };
};

let keys = 0;
const submit = (fixture: DaemonFixture, vmId: string, tasks: number, deadlineMs = 60_000) => {
  const daemon = fixture.daemon(vmId);
  keys += 1;
  const submission = createSubmission('fit', new Array(tasks).fill(keys), deadlineMs);
  return daemon.submit(counter, `${daemon.owner()}~${keys}`, Ok(submission));
};

test('keeps the starts and slots of a team within its quota over all daemons', async () => {
  const { fixture, usage } = await createQuotaFixture({ startsPerS: 30, slots: 5 });
  vmIds.forEach((vmId) => void submit(fixture, vmId, 100));
  await fixture.clock.advance(8_000);
  assert.ok(usage.startsAtMs.length >= 200, `${usage.startsAtMs.length} starts`);
  assert.ok(usage.maxStartsWithin(1_000) <= 30 + burstStarts, `${usage.maxStartsWithin(1_000)}`);
  assert.ok(usage.maxRunning <= 5, `${usage.maxRunning} slots`);
  await fixture.close();
});

test('lends unused shares to the daemon that has all the work of a team', async () => {
  const { fixture, usage } = await createQuotaFixture({ startsPerS: 30, slots: 5 });
  void submit(fixture, 'muenchen-vm2', 200);
  await fixture.clock.advance(3_000);
  const fromMs = fixture.clock.nowMs();
  await fixture.clock.advance(3_000);
  // Its own share alone would be 30 starts in 3 s.
  assert.ok(usage.countSince(fromMs) >= 80, `${usage.countSince(fromMs)} starts`);
  assert.ok(usage.maxRunning <= 5, `${usage.maxRunning} slots`);
  await fixture.close();
});

test('stays within the quota when a partitioned daemon goes on with its own share', async () => {
  const { fixture, usage } = await createQuotaFixture({ startsPerS: 30, slots: 6 });
  vmIds.forEach((vmId) => void submit(fixture, vmId, 230));
  await fixture.clock.advance(2_000);
  fixture.network.setCut('muenchen-vm1', 'muenchen-vm2', true);
  fixture.network.setCut('muenchen-vm1', 'muenchen-vm3', true);
  const cutAtMs = fixture.clock.nowMs();
  await fixture.clock.advance(12_000);
  assert.ok(usage.countSince(cutAtMs) >= 12 * 25, `${usage.countSince(cutAtMs)} starts`);
  assert.ok(usage.maxStartsWithin(1_000) <= 30 + burstStarts, `${usage.maxStartsWithin(1_000)}`);
  assert.ok(usage.maxRunning <= 6, `${usage.maxRunning} slots`);
  await fixture.close();
});

for (const isCut of [false, true]) {
  test(`uses a lent share again only after its return, borrower ${isCut ? 'partitioned' : 'reachable'}`, async () => {
    const { fixture, usage } = await createQuotaFixture({ startsPerS: 30, slots: 6 });
    void submit(fixture, 'muenchen-vm2', 230);
    await fixture.clock.advance(3_500);
    fixture.network.setCut('muenchen-vm1', 'muenchen-vm2', isCut);
    fixture.network.setCut('muenchen-vm2', 'muenchen-vm3', isCut);
    void submit(fixture, 'muenchen-vm1', 230);
    void submit(fixture, 'muenchen-vm3', 230);
    await fixture.clock.advance(9_000);
    assert.ok(usage.maxStartsWithin(1_000) <= 30 + burstStarts, `${usage.maxStartsWithin(1_000)}`);
    assert.ok(usage.maxRunning <= 6, `${usage.maxRunning} slots`);
    const fromMs = fixture.clock.nowMs() - 3_000;
    assert.ok(usage.countSince(fromMs) >= 75, `${usage.countSince(fromMs)} starts at the end`);
    await fixture.close();
  });
}

test('refuses work of a team over its quota and does not delay other teams', async () => {
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

test('applies a lowered quota to work that is queued already', async () => {
  const { fixture, usage } = await createQuotaFixture({ startsPerS: 30, slots: 6 });
  vmIds.forEach((vmId) => void submit(fixture, vmId, 230));
  await fixture.clock.advance(2_000);
  await fixture.publish(2, createQuotaConfiguration({ startsPerS: 6, slots: 3 }));
  await fixture.clock.advance(3_000);
  const fromMs = fixture.clock.nowMs();
  await fixture.clock.advance(5_000);
  const starts = usage.countSince(fromMs);
  assert.ok(starts <= 30 + burstStarts && starts >= 20, `${starts} starts`);
  await fixture.close();
});

/** One event; after each the daemons run for a random time. */
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

test('never exceeds the quota under partitions, joins and outages of the VM list', async () => {
  const events = fc.array(fc.tuple(eventArbitrary, fc.integer({ min: 100, max: 3_000 })), {
    minLength: 8,
    maxLength: 14,
  });
  const property = fc.asyncProperty(events, async (steps) => {
    const { fixture, usage } = await createQuotaFixture({ startsPerS: 30, slots: 5 });
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
          fixture.vmList.isUnreachable = event.isOut;
          break;
      }
      await fixture.clock.advance(pauseMs);
    }
    await fixture.close();
    assert.ok(usage.maxRunning <= 5, `${usage.maxRunning} slots`);
    const burst = burstStarts + 1;
    assert.ok(usage.maxStartsWithin(1_000) <= 30 + burst, `${usage.maxStartsWithin(1_000)} starts`);
  });
  await fc.assert(property, { seed: 11, numRuns: 15 });
});

test.run();
