import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FakeClock } from '../testing/fakeClock.js';
import { MessageAges } from './messageAges.js';
import { recoverFromStandstill } from './standstillRecovery.js';
import type { StandstillRecoveryOptions } from './standstillRecovery.js';

/** Records what the recovery asks of each part. */
const createFixture = () => {
  const calls: string[] = [];
  const record = (call: string) => (): void => void calls.push(call);
  const ages = MessageAges.create(FakeClock.create());
  const options = {
    ages,
    jobs: { giveUpAll: (reason: string) => void calls.push(`give up: ${reason}`) },
    dispatcher: {
      requesters: () => ['own', 'other'],
      withdrawAll: (requester: string) => void calls.push(`withdraw ${requester}`),
    },
    shards: { refresh: record('shards') },
    routingFollower: { refresh: record('routing') },
  } as unknown as StandstillRecoveryOptions;
  return { calls, ages, options };
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
