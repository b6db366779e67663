import { Ok } from 'ts-results-es';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Endpoint } from '../types/inventory.js';
import type { TaskStart } from '../ports/endpoints.js';
import { DaemonFixture } from '../testing/daemonFixture.js';
import { peek } from '../testing/peek.js';
import { createCaller, createConfiguration, createSubmission } from '../testing/fixtures.js';

const slots = 2;
const [a, b] = ['muenchen-vm1', 'muenchen-vm2'] as const;
const caller = createCaller('counter');

const dispatchersComputedBy = (fixture: DaemonFixture, vmId: string) =>
  fixture
    .daemon(vmId)
    .daemonStatus()
    .endpoints.map(({ dispatcher }) => dispatcher);

const submit = (fixture: DaemonFixture, vmId: string, key: string, count: number) => {
  const daemon = fixture.daemon(vmId);
  const inputs = Array.from({ length: count }, (_, i) => `${key}-${i}`);
  return daemon.submit(caller, `${daemon.owner()}~${key}`, Ok(createSubmission('fit', inputs)));
};

/** Records what runs on each endpoint; with guards, an endpoint refuses tasks beyond its slots. */
const recordUsage = (fixture: DaemonFixture, guards: boolean) => {
  const running = new Map<string, number>();
  const usage = { maxRunning: 0, busy: 0, endpointIds: new Set<string>() };
  fixture.endpoints.behaviour = async ({ endpointId }: Endpoint, start: TaskStart) => {
    const count = running.get(endpointId) ?? 0;
    if (guards && count >= slots) {
      usage.busy += 1;
      return { kind: 'not-started', reason: 'busy' };
    }
    running.set(endpointId, count + 1);
    usage.maxRunning = Math.max(usage.maxRunning, count + 1);
    usage.endpointIds.add(endpointId);
    const reply = await fixture.endpoints.runFor(start, 100);
    running.set(endpointId, (running.get(endpointId) ?? 1) - 1);
    return reply;
  };
  return usage;
};

const countStarts = (fixture: DaemonFixture) => {
  const counts = new Map<unknown, number>();
  for (const { input } of fixture.endpoints.starts) {
    counts.set(input, (counts.get(input) ?? 0) + 1);
  }
  return counts;
};

const createEndpoints = (workersPerFailureDomain: number) =>
  createConfiguration({ workersPerFailureDomain, slots });

test('agrees on one dispatcher for each endpoint, and replaces a daemon that was killed', async () => {
  const fixture = await DaemonFixture.create([a, b], createEndpoints(8));
  const before = dispatchersComputedBy(fixture, a);
  assert.equal(dispatchersComputedBy(fixture, b), before);
  assert.equal([...new Set(before)].sort(), [a, b]);
  fixture.kill(a);
  await fixture.clock.advance(4_000);
  assert.equal(dispatchersComputedBy(fixture, b), Array(8).fill(b));
  const answer = submit(fixture, b, 'after', 16);
  await fixture.clock.advance(150);
  assert.is(fixture.endpoints.starts.length, 16);
  await answer;
  await fixture.close();
});

test('hands endpoints over to a new daemon without exceeding their slots', async () => {
  const fixture = await DaemonFixture.create([a], createEndpoints(6));
  const usage = recordUsage(fixture, false);
  const answers = [submit(fixture, a, 'many', 200)];
  await fixture.clock.advance(250);
  fixture.start(b);
  await fixture.clock.advance(10);
  answers.push(submit(fixture, b, 'early', 20));
  for (let i = 0; i < 20; i += 1) {
    await fixture.clock.advance(200);
    answers.push(submit(fixture, b, `late-${i}`, 3));
  }
  await fixture.clock.advance(10_000);
  await Promise.all(answers);
  assert.is(usage.maxRunning, slots);
  assert.is(new Set(dispatchersComputedBy(fixture, a)).size, 2);
  await fixture.close();
});

test('causes busy replies but no second start of a task while two daemons are partitioned', async () => {
  const fixture = await DaemonFixture.create([a, b], createEndpoints(3));
  const usage = recordUsage(fixture, true);
  fixture.network.setCut(a, b, true);
  await fixture.clock.advance(5_000);
  assert.equal(dispatchersComputedBy(fixture, a), [a, a, a]);
  assert.equal(dispatchersComputedBy(fixture, b), [b, b, b]);
  const answers = [submit(fixture, a, 'a', 10), submit(fixture, b, 'b', 10)];
  await fixture.clock.advance(30_000);
  await Promise.all(answers);
  assert.ok(usage.busy > 0);
  assert.equal(Math.max(...countStarts(fixture).values()), 1);
  await fixture.close();
});

test('starts nothing on an endpoint that the inventory or the VM list marks as leaving', async () => {
  const configuration = createEndpoints(3);
  const fixture = await DaemonFixture.create([a], configuration);
  const { inventory, rules } = configuration;
  const endpoints = inventory.endpoints.map((endpoint, i) =>
    i === 0 ? { ...endpoint, state: 'leaving' as const } : endpoint,
  );
  await fixture.publish(2, { inventory: { ...inventory, endpoints }, rules });
  fixture.vmList.vms = [
    ...fixture.vmList.vms,
    { vmId: 'muenchen-w2', failureDomainId: 'muenchen', state: 'leaving', weight: 1 },
  ];
  await fixture.clock.advance(2_000);
  const usage = recordUsage(fixture, true);
  const answer = submit(fixture, a, 'all', 6);
  await fixture.clock.advance(2_000);
  await answer;
  assert.equal([...usage.endpointIds], ['muenchen-w3-e']);
  await fixture.close();
});

test('goes on dispatching within the slots when a new configuration keeps the endpoints', async () => {
  const configuration = createEndpoints(2);
  const fixture = await DaemonFixture.create([a], configuration);
  const usage = recordUsage(fixture, false);
  const answer = submit(fixture, a, 'many', 40);
  await fixture.clock.advance(250);
  const { inventory, rules } = configuration;
  const callers = [...inventory.callers, createCaller('workshop')];
  await fixture.publish(2, { inventory: { ...inventory, callers }, rules });
  await fixture.clock.advance(5_000);
  await answer;
  assert.is(usage.maxRunning, slots);
  await fixture.close();
});

test('lets a leaving daemon dispatch its waiting tasks before the others take over', async () => {
  const fixture = await DaemonFixture.create([a, b], createEndpoints(4));
  const answer = submit(fixture, a, 'waiting', 40);
  await fixture.clock.advance(150);
  fixture.daemon(a).drain();
  await fixture.clock.advance(5_000);
  const outcome = await peek(answer);
  assert.is(outcome?.kind === 'answered' && outcome.answer.status, 'complete');
  assert.equal(dispatchersComputedBy(fixture, b), [b, b, b, b]);
  await fixture.close();
});

test.run();
