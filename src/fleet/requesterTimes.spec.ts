import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  heartbeatTickMs,
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

test.run();
