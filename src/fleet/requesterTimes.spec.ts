import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { longestLeaseDurationMs } from '../dispatch/leaseTimes.js';
import { longestPauseMs } from '../utils/periodicSleep.js';
import {
  deadlineTimesFor,
  heartbeatTickMs,
  leaseTimesFor,
  maxSharingSilenceMs,
  minCallerResendMs,
  requesterCheckPeriodMs,
  requesterRunsEndMs,
  runsEndBeforeResend,
} from './requesterTimes.js';

// Guards against a change of one of the times that lets runs of a lost requester go on too long.
test('the runs of a requester end before its caller can send the job again', () => {
  assert.ok(requesterRunsEndMs < minCallerResendMs, `${requesterRunsEndMs} ms`);
  assert.ok(runsEndBeforeResend());
  assert.not.ok(runsEndBeforeResend(requesterRunsEndMs));
  assert.ok(maxSharingSilenceMs + requesterCheckPeriodMs < requesterRunsEndMs);
  assert.ok(2 * heartbeatTickMs < maxSharingSilenceMs, 'two heartbeats may be lost');
});

// Guards against a run that no stop reaches and that goes on beside the next attempt of its caller.
test('leases end before callers send again, and can be issued in full between two heartbeats', () => {
  for (const [longestLeaseMs, callerResendMs] of [
    [1_000, undefined],
    [1_000, 1_100],
    [3_000, 2_000],
    [500, 5_000],
  ] as const) {
    const times = leaseTimesFor(longestLeaseMs, callerResendMs);
    assert.ok(times.confirmationMs < (callerResendMs ?? minCallerResendMs));
    const lastFullLeaseMs = longestPauseMs(heartbeatTickMs) + longestLeaseDurationMs(times);
    assert.ok(lastFullLeaseMs <= times.confirmationMs, `${lastFullLeaseMs} ms`);
    assert.ok(times.leaseMs <= longestLeaseMs);
  }
  const { confirmationMs } = leaseTimesFor(1_000);
  assert.ok(
    requesterRunsEndMs < confirmationMs,
    'other runs beside a stopped one keep their lease',
  );
});

// Guards against runs that go on beside the next attempt of a caller whose request was read late.
test('the runs of a job have ended by the deadline of its caller, and its answer comes before', () => {
  const times = leaseTimesFor(1_000);
  for (const deadlineMs of [1_250, 1_500, 3_000, 86_400_000]) {
    const { giveUpMs, runsEndMs } = deadlineTimesFor(deadlineMs, times);
    assert.is(runsEndMs, deadlineMs);
    assert.ok(giveUpMs < runsEndMs);
    assert.ok(giveUpMs > deadlineMs - 100, `${giveUpMs} ms`);
  }
});

// Guards against callers with a short deadline for whom no task could ever start under a full lease.
test('a full lease can be issued for a job with a short deadline, and ends before its caller comes back', () => {
  const times = leaseTimesFor(1_000);
  for (const deadlineMs of [100, 300, 800, 1_200]) {
    const { giveUpMs, runsEndMs } = deadlineTimesFor(deadlineMs, times);
    assert.ok(longestLeaseDurationMs(times) < runsEndMs);
    assert.ok(runsEndMs < deadlineMs + minCallerResendMs);
    assert.ok(giveUpMs > 0 && giveUpMs <= deadlineMs);
  }
});

test.run();
