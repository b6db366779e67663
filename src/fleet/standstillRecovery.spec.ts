import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FakeClock } from '../testing/fakeClock.js';
import { CallerContact } from './callerContact.js';
import { MessageAges } from './messageAges.js';
import { recoverFromStandstill } from './standstillRecovery.js';
import type { StandstillRecoveryOptions } from './standstillRecovery.js';

/** Records what the recovery asks of each part. */
const createFixture = () => {
  const calls: string[] = [];
  const record = (call: string) => (): void => void calls.push(call);
  const clock = FakeClock.create();
  const ages = MessageAges.create(clock);
  const contact = CallerContact.create(clock);
  const suspensionsMs: number[] = [];
  const options = {
    ages,
    contact,
    intake: { giveUpAll: (reason: string) => void calls.push(`give up: ${reason}`) },
    dispatcher: {
      recordSuspension: (durationMs: number) => void suspensionsMs.push(durationMs),
      requesters: () => ['own', 'other'],
      withdrawAll: (requester: string) => void calls.push(`withdraw ${requester}`),
    },
    shards: { refresh: record('shards') },
    routingFollower: { refresh: record('routing') },
  } as unknown as StandstillRecoveryOptions;
  return { calls, ages, contact, suspensionsMs, options };
};

// Guards against jobs and batches that go on after a standstill, though callers and requesters went elsewhere.
test('after a standstill all jobs and batches end, and what the store says is read anew', () => {
  for (const [kind, reason] of [
    ['stalled', 'the process stood still'],
    ['suspended', 'the VM was suspended'],
  ] as const) {
    const { calls, options } = createFixture();
    recoverFromStandstill({ kind, durationMs: 2_000 }, options);
    const ended = [`give up: ${reason}`, 'withdraw own', 'withdraw other'];
    assert.equal(calls, [...ended, 'shards', 'routing']);
  }
});

// Guards against leases that are renewed for callers who left while the VM was suspended.
test('only a suspension is added to the time since callers and requesters were heard', () => {
  for (const [kind, addedMs] of [
    ['stalled', []],
    ['suspended', [2_000]],
  ] as const) {
    const { contact, suspensionsMs, options } = createFixture();
    recoverFromStandstill({ kind, durationMs: 2_000 }, options);
    assert.equal(suspensionsMs, addedMs);
    assert.is(contact.heldUpMs, addedMs[0] ?? 0);
  }
});

// Guards against messages that count as younger than they are, since the monotonic clock omits a suspension.
test('only a suspension is added to the ages of messages', () => {
  for (const [kind, addedMs] of [
    ['stalled', 0],
    ['suspended', 2_000],
  ] as const) {
    const { ages, options } = createFixture();
    const beforeMs = ages.timestampMs();
    recoverFromStandstill({ kind, durationMs: 2_000 }, options);
    assert.is(ages.timestampMs() - beforeMs, addedMs);
  }
});

test.run();
