import { Err, Ok } from 'ts-results-es';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { FleetConnector, FleetLink } from '../ports/fleetPeers.js';
import type { FleetStore } from '../ports/fleetStore.js';
import { FakeClock } from '../testing/fakeClock.js';
import { silentSupervisor } from '../testing/silentSupervisor.js';
import { silentLogger } from '../testing/silentLogger.js';
import type { FleetHeartbeat, Member, WorkerLoad } from '../types/fleet.js';
import { FleetPeers } from './fleetPeers.js';

const domains = ['a', 'b', 'c'];

const workerLoad: WorkerLoad = {
  workerId: 'i-1',
  free: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
  slowness: 1,
  isOpen: true,
  releases: [],
};

const composeHeartbeatOf = (member: Member): FleetHeartbeat => ({
  member,
  routingVersion: 0,
  isLeaving: false,
  load: { workers: [] },
  askedBatchIds: [],
});

/** Daemons of one fleet that are connected in memory. */
class Fleet {
  /** Heartbeats that were sent, as addresses of the sender and the receiver. */
  readonly calls: string[] = [];
  /** Reported losses, as incarnations of the reporting and the lost daemon. */
  readonly lost: string[] = [];
  /** Addresses of daemons that no message reaches or leaves. */
  readonly disconnected = new Set<string>();
  private readonly daemons = new Map<string, FleetPeers>();

  constructor(
    readonly clock: FakeClock,
    readonly members: Member[],
    sharesBatches: (own: string, other: string) => boolean = () => false,
    private readonly isDispatching = true,
  ) {
    for (const own of members) {
      this.daemons.set(own.address, this.createPeers(own, sharesBatches));
    }
  }

  reachableFrom(address: string): string[] {
    return (this.daemons.get(address)?.reachable() ?? []).map((peer) => peer.address);
  }

  find = (from: string, incarnation: string) => this.daemons.get(from)?.find(incarnation);

  /** Records that a daemon sends a batch to another one. */
  recordBatch(from: string, to: string): void {
    const peer = this.daemons
      .get(from)
      ?.reachable()
      .find(({ address }) => address === to);
    assert.ok(peer, `${to} is not reachable from ${from}`);
    peer.beginSharing(this.clock.nowMs());
  }

  /** Delivers a heartbeat that a process has sent earlier. */
  deliver(to: string, member: Member): void {
    this.daemons.get(to)?.receiveHeartbeat(composeHeartbeatOf(member));
  }

  async close(): Promise<void> {
    await Promise.all([...this.daemons.values()].map((peers) => peers.close()));
  }

  private createPeers(
    own: Member,
    sharesBatches: (own: string, other: string) => boolean,
  ): FleetPeers {
    const composeHeartbeat = (): FleetHeartbeat => ({
      ...composeHeartbeatOf(own),
      load: { workers: this.isDispatching ? [workerLoad] : [] },
    });
    const store: Pick<FleetStore, 'listMembers'> = {
      listMembers: (domain) =>
        Promise.resolve(Ok(this.members.filter((one) => one.failureDomainId === domain))),
    };
    return FleetPeers.create({
      supervisor: silentSupervisor(this.clock),
      clock: this.clock,
      logger: silentLogger,
      connector: this.connectorOf(own, composeHeartbeat),
      store: store as FleetStore,
      own,
      ...{ failureDomainIds: domains, stopGraceMs: 6_000 },
      composeHeartbeat,
      onHeartbeat: () => undefined,
      isDispatching: () => this.isDispatching,
      sharesBatches: (incarnation) => sharesBatches(own.incarnation, incarnation),
      onLost: (incarnation) => this.lost.push(`${own.incarnation} ${incarnation}`),
      onSuspect: () => undefined,
    });
  }

  private connectorOf(own: Member, composeHeartbeat: () => FleetHeartbeat): FleetConnector {
    return {
      connect: (address) => {
        const link: Pick<FleetLink, 'beat' | 'close'> = {
          beat: (heartbeat) => {
            this.calls.push(`${own.address} ${address}`);
            const peers = this.daemons.get(address);
            const isDisconnected =
              this.disconnected.has(address) || this.disconnected.has(own.address);
            if (peers === undefined || isDisconnected) {
              return Promise.resolve(Err({ kind: 'broken', detail: 'disconnected' }));
            }
            peers.receiveHeartbeat(heartbeat);
            const member = this.members.find((one) => one.address === address) ?? own;
            return Promise.resolve(Ok({ ...composeHeartbeat(), member }));
          },
          close: () => Promise.resolve(),
        };
        return link as FleetLink;
      },
    };
  }
}

const createMembers = (perDomain: number): Member[] =>
  domains.flatMap((failureDomainId) =>
    Array.from({ length: perDomain }, (_, index) => ({
      incarnation: `${failureDomainId}${index}`,
      address: `${failureDomainId}:${index}`,
      failureDomainId,
      weight: 1,
    })),
  );

/** Counts the heartbeats that a daemon sent or received. */
const callsOf = (fleet: Fleet, address: string): number =>
  fleet.calls.filter((call) => call.split(' ').includes(address)).length;

test('a daemon reaches its whole failure domain and a few daemons of each other one', async () => {
  const fleet = new Fleet(FakeClock.create(), createMembers(7));
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
  const fleet = new Fleet(FakeClock.create(), createMembers(7), sharesBatches);
  await fleet.clock.advance(3_000);
  judged.length = 0;
  assert.equal([fleet.find('a:0', 'a5')?.address, judged], ['a:5', ['a5']]);
  await fleet.close();
});

test('the number of heartbeats does not grow with the size of other failure domains', async () => {
  const fleet = new Fleet(FakeClock.create(), createMembers(7));
  await fleet.clock.advance(3_000);
  fleet.calls.length = 0;
  await fleet.clock.advance(3_000);
  const total = fleet.members.reduce((sum, { address }) => sum + callsOf(fleet, address), 0);
  const perDaemonAndSecond = total / fleet.members.length / 3;
  // Heartbeats at 3.3 a second: with 6 daemons of the same domain, 2 contacts in each of 2 other
  // domains, and as many daemons that chose this one.
  assert.ok(perDaemonAndSecond < (6 + 8) * 3.4, `${perDaemonAndSecond} a second`);
  await fleet.close();
});

test('daemons that stand by exchange few heartbeats and still reach each other', async () => {
  const fleet = new Fleet(FakeClock.create(), createMembers(7), () => false, false);
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
  const fleet = new Fleet(FakeClock.create(), createMembers(4));
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
  const fleet = new Fleet(FakeClock.create(), createMembers(2), () => false, false);
  fleet.disconnected.add('a:1');
  await fleet.clock.advance(4_700);
  fleet.disconnected.delete('a:1');
  await fleet.clock.advance(650);
  assert.ok(fleet.reachableFrom('a:0').includes('a:1'));
  await fleet.close();
});

test('a peer that missed heartbeats is not lost because a batch is sent to it now', async () => {
  const pairs = new Set<string>();
  const fleet = new Fleet(FakeClock.create(), createMembers(4), (own, other) =>
    pairs.has(`${own} ${other}`),
  );
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
  const fleet = new Fleet(FakeClock.create(), createMembers(2), () => true);
  await fleet.clock.advance(1_930);
  fleet.clock.jump(950);
  await fleet.clock.advance(1_000);
  assert.equal(fleet.lost, []);
  await fleet.close();
});

// Guards against the loss of a living daemon by a late message of the process before it.
test('a late heartbeat of an earlier process at an address changes nothing', async () => {
  const fleet = new Fleet(FakeClock.create(), createMembers(2));
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
  const fleet = new Fleet(FakeClock.create(), createMembers(2));
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
  const fleet = new Fleet(FakeClock.create(), createMembers(7), (own, other) =>
    pairs.has(`${own} ${other}`),
  );
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

test.run();
