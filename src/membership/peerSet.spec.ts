import { Ok } from 'ts-results-es';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DaemonFixture } from '../testing/daemonFixture.js';
import { createCaller, createConfiguration, createSubmission } from '../testing/fixtures.js';

const reachableFrom = (fixture: DaemonFixture, vmId: string) =>
  fixture
    .daemon(vmId)
    .daemonStatus()
    .peers.map((peer) => peer.vmId)
    .sort();

const [a, b, c] = ['muenchen-vm1', 'muenchen-vm2', 'muenchen-vm3'] as const;

test('exchanges heartbeats once a second for each pair, so that both learn of each other', async () => {
  const fixture = await DaemonFixture.create([a, b, c]);
  const before = fixture.network.heartbeatCount;
  await fixture.clock.advance(10_000);
  assert.is(fixture.network.heartbeatCount - before, 30);
  assert.equal(reachableFrom(fixture, a), [b, c]);
  assert.equal(reachableFrom(fixture, c), [a, b]);
  await fixture.close();
});

test('replaces the old incarnation of a VM and ignores its late heartbeats', async () => {
  const fixture = await DaemonFixture.create([a, b]);
  const old = fixture.daemon(b).incarnation;
  fixture.kill(b);
  const restarted = fixture.start(b);
  fixture.vmList.vms = fixture.vmList.vms.slice(-2);
  await fixture.clock.advance(2_000);
  const { peers } = fixture.daemon(a).daemonStatus();
  assert.equal(
    peers.map((peer) => peer.incarnation),
    [restarted.incarnation],
  );
  fixture.daemon(a).heartbeat({ ...restarted.daemonStatus().own, incarnation: old });
  assert.is(fixture.daemon(a).daemonStatus().peers[0]?.incarnation, restarted.incarnation);
  await fixture.close();
});

test('keeps reachable peers while the VM list is unavailable, lags or omits them', async () => {
  const fixture = await DaemonFixture.create([a, b, c]);
  fixture.vmList.isUnreachable = true;
  await fixture.clock.advance(60_000);
  assert.equal(reachableFrom(fixture, a), [b, c]);
  fixture.vmList.isUnreachable = false;
  fixture.vmList.vms = fixture.vmList.vms.filter(({ vmId }) => vmId !== b);
  for (let i = 0; i < 20; i += 1) {
    await fixture.clock.advance(500);
    assert.equal(reachableFrom(fixture, a), [b, c]);
  }
  fixture.kill(b);
  await fixture.clock.advance(5_000);
  assert.equal(reachableFrom(fixture, a), [c]);
  await fixture.close();
});

test('accepts heartbeats of a daemon that the VM list does not name yet', async () => {
  const fixture = await DaemonFixture.create(
    [a],
    createConfiguration({ workersPerFailureDomain: 6 }),
  );
  fixture.vmList.isUnreachable = true;
  fixture.start(b);
  const { own } = fixture.daemon(b).daemonStatus();
  fixture.daemon(a).heartbeat(own);
  assert.equal(reachableFrom(fixture, a), [b]);
  fixture.kill(b);
  await fixture.clock.advance(20_000);
  assert.equal(reachableFrom(fixture, a), []);
  const dispatchers = fixture
    .daemon(a)
    .daemonStatus()
    .endpoints.map(({ dispatcher }) => dispatcher);
  assert.equal(dispatchers, Array(6).fill(a));
  const answer = fixture
    .daemon(a)
    .submit(
      createCaller('counter'),
      `${fixture.daemon(a).owner()}~a`,
      Ok(createSubmission('fit', Array(12).fill(1))),
    );
  await fixture.clock.advance(50);
  assert.is(fixture.endpoints.starts.length, 12);
  await fixture.clock.advance(500);
  await answer;
  await fixture.close();
});

test('keeps both members of a pair where only one of them can connect to the other', async () => {
  const fixture = await DaemonFixture.create([a, b]);
  for (const [from, to] of [
    [a, b],
    [b, a],
  ] as const) {
    fixture.network.setFault(from, to, 'cut');
    await fixture.clock.advance(3_000);
    for (let i = 0; i < 20; i += 1) {
      await fixture.clock.advance(500);
      assert.equal([reachableFrom(fixture, a), reachableFrom(fixture, b)], [[b], [a]]);
    }
    fixture.network.setFault(from, to, 'none');
    await fixture.clock.advance(3_000);
  }
  await fixture.close();
});

test('treats a daemon as leaving when the VM list marks its VM as leaving', async () => {
  const fixture = await DaemonFixture.create([a, b]);
  fixture.vmList.vms = fixture.vmList.vms.map((vm) =>
    vm.vmId === b ? { ...vm, state: 'leaving' } : vm,
  );
  await fixture.clock.advance(2_000);
  assert.is(fixture.daemon(a).daemonStatus().peers[0]?.state, 'leaving');
  assert.is(fixture.daemon(b).daemonStatus().own.state, 'leaving');
  await fixture.close();
});

test('exchanges few heartbeats between failure domains and still reaches every owner', async () => {
  const failureDomains = ['d1', 'd2', 'd3', 'd4', 'd5', 'd6', 'd7'];
  const vmIds = failureDomains.flatMap((id) => [1, 2, 3, 4].map((i) => `${id}-vm${i}`));
  const fixture = await DaemonFixture.create(vmIds);
  await fixture.clock.advance(60_000);
  const before = fixture.network.heartbeatCount;
  await fixture.clock.advance(30_000);
  const withinDomains = 7 * 6;
  const connectors = 7 * 6 * 2;
  const otherPairs = (28 * 24) / 2 - connectors;
  const perS = (fixture.network.heartbeatCount - before) / 30;
  assert.ok(
    Math.abs(perS - (withinDomains + connectors + otherPairs / 30)) < 1,
    `${perS} a second`,
  );
  const caller = createCaller('counter');
  for (const owner of ['d1-vm1', 'd4-vm2', 'd7-vm4']) {
    const key = `${fixture.daemon(owner).owner()}~a`;
    const outcome = await fixture
      .daemon('d2-vm3')
      .submit(caller, key, Ok(createSubmission('none', [1])));
    assert.is(outcome.kind === 'refused' && outcome.problem.kind, 'unknown-operation');
  }
  await fixture.close();
});

test.run();
