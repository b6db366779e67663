import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FakeClock } from '../testing/fakeClock.js';
import { FleetPeer } from './fleetPeer.js';
import { HeartbeatDuty } from './heartbeatDuty.js';
import { PeerRelations } from './peerRelations.js';
import type { FleetLink } from '../ports/fleetPeers.js';

const addresses = ['10.0.0.1:7000', '10.0.0.2:7000'] as const;
const periodMs = 600;

/** Whether a daemon sends its contact in another domain a heartbeat, some time after both have sent one at once. */
const sendsAfter = async (own: string, other: string, elapsedMs: number): Promise<boolean> => {
  const clock = FakeClock.create();
  const options = {
    ...{ clock, isDispatching: () => true, sharesBatches: () => false },
    own: { incarnation: own, address: own, failureDomainId: own, weight: 1 },
  };
  await clock.advance(10_000);
  const peer = FleetPeer.create(
    { address: other, failureDomainId: other },
    {} as FleetLink,
    0,
    clock.nowMs(),
  );
  peer.recordContact(clock.nowMs());
  peer.lastSentAtMs = clock.nowMs();
  peer.lastInboundHeartbeatAtMs = clock.nowMs();
  const duty = HeartbeatDuty.create(options, PeerRelations.create(options));
  duty.refreshContacts([peer]);
  await clock.advance(elapsedMs);
  return duty.mustSend(peer);
};

// Guards against two daemons that both pause after heartbeats sent at once, until their loads have expired.
test('after heartbeats sent at once, the lower address sends the next one a period later', async () => {
  const [lower, higher] = addresses;
  assert.ok(await sendsAfter(lower, higher, periodMs));
  assert.not.ok(await sendsAfter(higher, lower, periodMs));
  assert.ok(await sendsAfter(higher, lower, 2 * periodMs));
});

test.run();
