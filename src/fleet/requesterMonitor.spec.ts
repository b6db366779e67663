import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Dispatcher } from '../dispatch/dispatcher.js';
import { FakeClock } from '../testing/fakeClock.js';
import { silentLogger } from '../testing/silentLogger.js';
import { silentSupervisor } from '../testing/silentSupervisor.js';
import { MessageAges } from './messageAges.js';
import { CallerContact } from './callerContact.js';
import { RequesterLeases } from './requesterLeases.js';
import { RequesterMonitor } from './requesterMonitor.js';

const requester = 'requester';
/** Shorter than what counts as a standstill, and longer than a requester's lease less a heartbeat. */
const stallMs = 950;

const createFixture = () => {
  const clock = FakeClock.create();
  const leases = RequesterLeases.create(MessageAges.create(clock));
  const withdrawn: string[] = [];
  const confirmed: { askedBy: string; agoMs: number }[] = [];
  const contact = CallerContact.create(clock);
  const dispatcher: Pick<Dispatcher, 'confirm' | 'requesters' | 'withdrawAll'> = {
    confirm: (askedBy, _isRequested, agoMs) => void confirmed.push({ askedBy, agoMs }),
    requesters: () => [requester],
    withdrawAll: (askedBy) => void withdrawn.push(askedBy),
  };
  const monitor = RequesterMonitor.create({
    contact,
    clock,
    logger: silentLogger,
    ownId: 'own',
    leases,
    dispatcher: dispatcher as Dispatcher,
    supervisor: silentSupervisor(clock),
  });
  const close = async (): Promise<void> => {
    const closing = monitor.close();
    await clock.advance(200);
    await closing;
  };
  return { clock, contact, leases, withdrawn, confirmed, close };
};

// Guards against live requesters whose work is withdrawn, since this process was held up and had not read on.
test('a check that comes late judges a lease after what waited was read', async () => {
  const { clock, leases, withdrawn, close } = createFixture();
  leases.recordMessage(requester, undefined);
  await clock.flushCallbacks();
  clock.jump(stallMs);
  // Overdue timers come before the sockets are read.
  void clock.sleep(0).then(() => leases.recordMessage(requester, undefined));
  await clock.advance(200);
  assert.equal(withdrawn, []);
  await close();
});

test('a check that comes late ends the lease of a requester of which nothing waited', async () => {
  const { clock, leases, withdrawn, close } = createFixture();
  leases.recordMessage(requester, undefined);
  await clock.flushCallbacks();
  clock.jump(stallMs);
  await clock.advance(1);
  assert.ok(withdrawn.length > 0);
  await close();
});

// Guards against a lease that is renewed for a caller who left while this process was held up.
test('own batches are confirmed once the sockets were read, and the process counts as held up until then', async () => {
  const { clock, contact, confirmed, close } = createFixture();
  await clock.flushCallbacks();
  clock.jump(stallMs);
  assert.is(contact.heldUpMs, stallMs);
  assert.equal(confirmed, []);
  await clock.advance(1);
  assert.equal(confirmed, [{ askedBy: 'own', agoMs: 0 }]);
  assert.is(contact.heldUpMs, 0);
  await close();
});

test.run();
