import { Err, Ok } from 'ts-results-es';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { FleetConnector, FleetLink } from '../ports/fleetPeers.js';
import type { FleetStore } from '../ports/fleetStore.js';
import { FakeClock } from '../testing/fakeClock.js';
import { silentLogger } from '../testing/silentLogger.js';
import type { FleetHeartbeat, Member } from '../types/fleet.js';
import { FleetPeers } from './fleetPeers.js';

const domains = ['a', 'b', 'c'];

/** Daemons of one fleet that reach each other in memory. */
class Fleet {
  /** Calls from one address to another. */
  readonly calls: string[] = [];
  readonly lost: string[] = [];
  readonly silenced = new Set<string>();
  private readonly daemons = new Map<string, FleetPeers>();

  constructor(
    readonly clock: FakeClock,
    readonly members: readonly Member[],
    isBound: (own: string, other: string) => boolean = () => false,
  ) {
    for (const own of members) {
      this.daemons.set(own.address, this.createPeers(own, isBound));
    }
  }

  heardBy(address: string): string[] {
    return (this.daemons.get(address)?.heard() ?? []).map((peer) => peer.address);
  }

  async close(): Promise<void> {
    await Promise.all([...this.daemons.values()].map((peers) => peers.close()));
  }

  private createPeers(own: Member, isBound: (own: string, other: string) => boolean): FleetPeers {
    const beat = (): FleetHeartbeat => ({
      member: own,
      routingVersion: 0,
      isLeaving: false,
      load: { workers: [] },
      askedBatchIds: [],
    });
    const store: Pick<FleetStore, 'listMembers'> = {
      listMembers: (domain) =>
        Promise.resolve(Ok(this.members.filter((one) => one.failureDomainId === domain))),
    };
    return FleetPeers.create({
      clock: this.clock,
      logger: silentLogger,
      connector: this.connectorOf(own, beat),
      store: store as FleetStore,
      own,
      failureDomainIds: domains,
      compose: beat,
      onHeartbeat: () => undefined,
      isBound: (incarnation) => isBound(own.incarnation, incarnation),
      onLost: (incarnation) => this.lost.push(`${own.incarnation} ${incarnation}`),
      onSuspect: () => undefined,
    });
  }

  private connectorOf(own: Member, beat: () => FleetHeartbeat): FleetConnector {
    return {
      connect: (address) => {
        const link: Pick<FleetLink, 'beat' | 'close'> = {
          beat: (heartbeat) => {
            this.calls.push(`${own.address} ${address}`);
            const peers = this.daemons.get(address);
            const isCut = this.silenced.has(address) || this.silenced.has(own.address);
            if (peers === undefined || isCut) {
              return Promise.resolve(Err({ kind: 'broken', detail: 'cut' }));
            }
            peers.receive(heartbeat);
            const member = this.members.find((one) => one.address === address) ?? own;
            return Promise.resolve(Ok({ ...beat(), member }));
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

const callsOf = (fleet: Fleet, address: string): number =>
  fleet.calls.filter((call) => call.split(' ').includes(address)).length;

test('a daemon hears its failure domain and a few of each other one', async () => {
  const fleet = new Fleet(FakeClock.create(), createMembers(7));
  await fleet.clock.advance(3_000);
  const heard = fleet.heardBy('a:0');
  assert.is(heard.filter((address) => address.startsWith('a:')).length, 6);
  for (const domain of ['b', 'c']) {
    const count = heard.filter((address) => address.startsWith(`${domain}:`)).length;
    assert.ok(count >= 2 && count <= 7, `${count} of ${domain}`);
  }
  await fleet.close();
});

test('heartbeats do not grow with daemons of other failure domains', async () => {
  const fleet = new Fleet(FakeClock.create(), createMembers(7));
  await fleet.clock.advance(3_000);
  fleet.calls.length = 0;
  await fleet.clock.advance(3_000);
  const total = fleet.members.reduce((sum, { address }) => sum + callsOf(fleet, address), 0);
  const perDaemonAndSecond = total / fleet.members.length / 3;
  // 6 near ones at 3.3 a second, 2 chosen contacts in each of 2 domains, and as many that chose it.
  assert.ok(perDaemonAndSecond < (6 + 8) * 3.4, `${perDaemonAndSecond} a second`);
  await fleet.close();
});

test('a contact that falls silent is lost and replaced by another', async () => {
  const fleet = new Fleet(FakeClock.create(), createMembers(4));
  await fleet.clock.advance(3_000);
  const before = fleet.heardBy('a:0').filter((address) => address.startsWith('b:'));
  before.forEach((address) => fleet.silenced.add(address));
  await fleet.clock.advance(4_000);
  const after = fleet.heardBy('a:0').filter((address) => address.startsWith('b:'));
  assert.ok(after.every((address) => !before.includes(address)));
  assert.ok(after.length >= Math.min(2, 4 - before.length));
  assert.ok(fleet.lost.includes(`a0 ${before[0]?.replace(':', '') ?? ''}`));
  await fleet.close();
});

test('two daemons that share batches stay in contact', async () => {
  const bound = new Set(['a0 b0', 'b0 a0']);
  const fleet = new Fleet(FakeClock.create(), createMembers(7), (own, other) =>
    bound.has(`${own} ${other}`),
  );
  await fleet.clock.advance(1_000);
  for (let seconds = 0; seconds < 5; seconds += 1) {
    await fleet.clock.advance(1_000);
    const isHeard = fleet.heardBy('a:0').includes('b:0');
    assert.ok(isHeard || !fleet.lost.includes('a0 b0'), 'lost while batches are shared');
  }
  await fleet.close();
});

test.run();
