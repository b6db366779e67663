import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { HeartbeatFleet } from '../testing/heartbeatFleet.js';

test('a daemon reaches its whole failure domain and a few daemons of each other one', async () => {
  const fleet = HeartbeatFleet.create({ daemonsPerDomain: 7 });
  await fleet.clock.advance(3_000);
  const reachable = fleet.reachableFrom('a:0');
  assert.is(reachable.filter((address) => address.startsWith('a:')).length, 6);
  for (const domain of ['b', 'c']) {
    const count = reachable.filter((address) => address.startsWith(`${domain}:`)).length;
    assert.ok(count >= 2 && count <= 7, `${count} of ${domain}`);
  }
  await fleet.close();
});

// Guards against a cost of each message between daemons that grows with the fleet.
test('to find one daemon, no other is judged', async () => {
  const judged: string[] = [];
  const sharesBatches = (_own: string, other: string): boolean => judged.push(other) === 0;
  const fleet = HeartbeatFleet.create({ daemonsPerDomain: 7, sharesBatches });
  await fleet.clock.advance(3_000);
  judged.length = 0;
  assert.equal([fleet.find('a:0', 'a5')?.address, judged], ['a:5', ['a5']]);
  await fleet.close();
});

test('the number of heartbeats does not grow with the size of other failure domains', async () => {
  const fleet = HeartbeatFleet.create({ daemonsPerDomain: 7 });
  await fleet.clock.advance(3_000);
  fleet.calls.length = 0;
  await fleet.clock.advance(3_000);
  const total = fleet.members.reduce(
    (sum, { address }) => sum + fleet.countHeartbeatsOf(address),
    0,
  );
  const perDaemonAndSecond = total / fleet.members.length / 3;
  // Heartbeats at 3.3 a second: with 6 daemons of the same domain, 2 contacts in each of 2 other
  // domains, and as many daemons that chose this one.
  assert.ok(perDaemonAndSecond < (6 + 8) * 3.4, `${perDaemonAndSecond} a second`);
  await fleet.close();
});

test('daemons that stand by exchange few heartbeats and still reach each other', async () => {
  const fleet = HeartbeatFleet.create({ daemonsPerDomain: 7, isDispatching: false });
  await fleet.clock.advance(4_000);
  fleet.calls.length = 0;
  fleet.lost.length = 0;
  await fleet.clock.advance(6_000);
  const inDomain = fleet.calls.filter((call) => call.startsWith('a:') && call.includes(' a:'));
  // 21 pairs, each every 1.5 s.
  assert.ok(inDomain.length / 6 <= 21 / 1.5 + 1, `${inDomain.length / 6} a second`);
  assert.is(fleet.reachableFrom('a:0').filter((address) => address.startsWith('a:')).length, 6);
  assert.equal(
    fleet.lost.filter((pair) => /^a\d a\d$/.test(pair)),
    [],
  );
  await fleet.close();
});

test('a contact that becomes unreachable is reported as lost and replaced by another', async () => {
  const fleet = HeartbeatFleet.create({ daemonsPerDomain: 4 });
  await fleet.clock.advance(3_000);
  const before = fleet.reachableFrom('a:0').filter((address) => address.startsWith('b:'));
  before.forEach((address) => fleet.disconnected.add(address));
  await fleet.clock.advance(4_000);
  const after = fleet.reachableFrom('a:0').filter((address) => address.startsWith('b:'));
  assert.ok(after.every((address) => !before.includes(address)));
  assert.ok(after.length >= Math.min(2, 4 - before.length));
  assert.ok(fleet.lost.includes(`a0 ${before[0]?.replace(':', '') ?? ''}`));
  await fleet.close();
});

test('a daemon that stands by reaches a peer soon after it is back', async () => {
  const fleet = HeartbeatFleet.create({ daemonsPerDomain: 2, isDispatching: false });
  fleet.disconnected.add('a:1');
  await fleet.clock.advance(4_700);
  fleet.disconnected.delete('a:1');
  await fleet.clock.advance(650);
  assert.ok(fleet.reachableFrom('a:0').includes('a:1'));
  await fleet.close();
});

test('a peer that missed heartbeats is not lost because a batch is sent to it now', async () => {
  const pairs = new Set<string>();
  const fleet = HeartbeatFleet.create({
    daemonsPerDomain: 4,
    sharesBatches: (own, other) => pairs.has(`${own} ${other}`),
  });
  await fleet.clock.advance(2_950);
  fleet.disconnected.add('a:1');
  await fleet.clock.advance(600);
  fleet.disconnected.delete('a:1');
  fleet.recordBatch('a:0', 'a:1');
  pairs.add('a0 a1');
  await fleet.clock.advance(1_000);
  assert.equal(
    fleet.lost.filter((pair) => pair === 'a0 a1'),
    [],
  );
  await fleet.close();
});

// Guards against a live daemon that is taken for lost with its batches, since this process had not read on.
test('a check of peers that comes late judges them after what waited was read', async () => {
  const fleet = HeartbeatFleet.create({ daemonsPerDomain: 2, sharesBatches: () => true });
  await fleet.clock.advance(1_930);
  fleet.clock.jump(950);
  await fleet.clock.advance(1_000);
  assert.equal(fleet.lost, []);
  await fleet.close();
});

// Guards against the loss of a living daemon by a late message of the process before it.
test('a late heartbeat of an earlier process at an address changes nothing', async () => {
  const fleet = HeartbeatFleet.create({ daemonsPerDomain: 2 });
  await fleet.clock.advance(1_000);
  const [, living] = fleet.members;
  assert.ok(living);
  fleet.deliver('a:0', { ...living, incarnation: 'earlier' });
  await fleet.clock.advance(1_000);
  assert.equal(fleet.lost, []);
  assert.ok(fleet.reachableFrom('a:0').includes(living.address));
  await fleet.close();
});

test('a process is replaced once another one answers, and what it sent before is ignored', async () => {
  const fleet = HeartbeatFleet.create({ daemonsPerDomain: 2 });
  await fleet.clock.advance(1_000);
  const [, earlier, ...others] = fleet.members;
  assert.ok(earlier);
  const later = { ...earlier, incarnation: 'later' };
  fleet.members.splice(1, others.length + 1, later, ...others);
  fleet.deliver('a:0', later);
  await fleet.clock.advance(350);
  assert.equal(
    fleet.lost.filter((pair) => pair.startsWith('a0')),
    ['a0 a1'],
  );
  fleet.deliver('a:0', earlier);
  await fleet.clock.advance(1_000);
  assert.equal(
    fleet.lost.filter((pair) => pair.startsWith('a0')),
    ['a0 a1'],
  );
  await fleet.close();
});

test('two daemons with batches at each other stay in contact', async () => {
  const pairs = new Set(['a0 b0', 'b0 a0']);
  const fleet = HeartbeatFleet.create({
    daemonsPerDomain: 7,
    sharesBatches: (own, other) => pairs.has(`${own} ${other}`),
  });
  await fleet.clock.advance(1_000);
  for (let seconds = 0; seconds < 5; seconds += 1) {
    await fleet.clock.advance(1_000);
    const isReachable = fleet.reachableFrom('a:0').includes('b:0');
    assert.ok(
      isReachable || !fleet.lost.includes('a0 b0'),
      'lost although one has batches at the other',
    );
  }
  await fleet.close();
});

// Guards against the end of a daemon that is found late by those of its domain to which it sent the heartbeats.
test('a daemon whose heartbeat is late is sent one before it counts as unreachable', async () => {
  const fleet = HeartbeatFleet.create({ daemonsPerDomain: 2 });
  await fleet.clock.advance(3_000);
  fleet.calls.length = 0;
  await fleet.clock.advance(1_800);
  assert.not(fleet.calls.includes('a:1 a:0'));
  fleet.disconnected.add('a:0');
  await fleet.clock.advance(1_200);
  assert.ok(fleet.calls.includes('a:1 a:0'));
  assert.not(fleet.lost.includes('a1 a0'));
  await fleet.close();
});

// Guards against a proof that dies with the daemon that has it, before its next heartbeat: of a task that crashes its workers.
test('news goes to all peers with which contact is kept at once, from either side, and is sent once', async () => {
  const fleet = HeartbeatFleet.create({ daemonsPerDomain: 3 });
  await fleet.clock.advance(3_000);
  fleet.calls.length = 0;
  fleet.tellNews('a:1');
  fleet.tellNews('a:1');
  await fleet.clock.advance(5);
  const sent = fleet.calls.filter((call) => call.startsWith('a:1 '));
  assert.ok(['a:1 a:0', 'a:1 a:2'].every((call) => sent.includes(call)));
  assert.ok(sent.some((call) => !call.endsWith(' a:0') && !call.endsWith(' a:2')));
  assert.is(new Set(sent).size, sent.length);
  await fleet.close();
});

// Guards against a hand-over of workers after which the heartbeats of all domains are sent together from then on.
test('news of a domain is sent at once to the peers of that domain only', async () => {
  const fleet = HeartbeatFleet.create({ daemonsPerDomain: 3 });
  await fleet.clock.advance(3_000);
  fleet.calls.length = 0;
  fleet.tellDomainNews('a:1');
  await fleet.clock.advance(0);
  const sent = fleet.calls.filter((call) => call.startsWith('a:1 '));
  assert.equal(sent.sort(), ['a:1 a:0', 'a:1 a:2']);
  await fleet.close();
});

test.run();
