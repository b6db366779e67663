import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FakeClock } from '../testing/fakeClock.js';
import { CallerContact } from './callerContact.js';
import { heartbeatTickMs } from './requesterTimes.js';

const createFixture = () => {
  const clock = FakeClock.create();
  return { clock, contact: CallerContact.create(clock) };
};

// Guards against confirmations that count from the end of a long turn, though what came during it is not read yet.
test('what was read counts from the begin of the turn that read it', async () => {
  const { clock, contact } = createFixture();
  const turnMs = 200;
  const reading = contact.read();
  clock.jump(turnMs);
  await clock.advance(0);
  await reading;
  assert.is(contact.heldUpMs, turnMs);
});

test('a process that reads its sockets in time is not held up', async () => {
  const { clock, contact } = createFixture();
  const reading = contact.read();
  await clock.advance(1);
  await reading;
  assert.is(contact.heldUpMs, 0);
});

// Guards against confirmations that take callers for present whose ends wait in the queue of a link.
test('a link over which all messages come late delays what callers send', async () => {
  const { clock, contact } = createFixture();
  contact.recordMessageAge(900);
  contact.recordMessageAge(700);
  assert.is(contact.heldUpMs, 700);
  const reading = contact.read();
  await clock.advance(1);
  await reading;
  contact.recordMessageAge(3);
  assert.is(contact.heldUpMs, 0, 'one sender that is late says nothing of the link');
});

test('the age of a message tells nothing of the link for long', async () => {
  const { clock, contact } = createFixture();
  contact.recordMessageAge(900);
  await clock.advance(2 * heartbeatTickMs);
  const reading = contact.read();
  await clock.advance(1);
  await reading;
  assert.is(contact.heldUpMs, 0);
});

test.run();
