import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FakeClock } from '../testing/fakeClock.js';
import { NewContacts } from './newContacts.js';

// Guards against a process that is never told what was announced before it began, or while it was cut off.
test('contact with a process is new for a while, and again after it was lost', async () => {
  const clock = FakeClock.create();
  const contacts = NewContacts.create(clock, 3_000);
  assert.ok(contacts.isNew(undefined));
  assert.ok(contacts.isNew('vm'));
  contacts.record('vm');
  await clock.advance(3_000);
  contacts.record('vm');
  assert.ok(contacts.isNew('vm'));
  await clock.advance(1);
  assert.not(contacts.isNew('vm'));
  contacts.forget('vm');
  contacts.record('vm');
  assert.ok(contacts.isNew('vm'));
});

test.run();
