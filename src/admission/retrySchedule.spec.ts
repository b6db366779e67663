import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FakeClock } from '../testing/fakeClock.js';
import { SeededRandom } from '../testing/seededRandom.js';
import { maxRetryAfterMs, minRetryAfterMs, RetrySchedule } from './retrySchedule.js';

const createFixture = () => {
  const clock = FakeClock.create();
  const schedule = RetrySchedule.create(clock, SeededRandom.create(1));
  const refuse = (jobId: string, arrivedAtMs: number): number =>
    clock.nowMs() +
    schedule.retryAfterMs({
      ...{ jobId, arrivedAtMs, serviceId: 'fit', lateMs: 0 },
      ...{ coreMs: 16_000, capacityCpuMillis: 320_000 },
    });
  return { clock, refuse };
};

// Guards against refused callers that all come again at the same moment.
test('callers that are refused together retry one after the other, in the order of arrival', () => {
  const { clock, refuse } = createFixture();
  const timesMs = Array.from({ length: 50 }, (_, index) => refuse(`j-${index}`, index / 100));
  assert.equal(
    timesMs,
    [...timesMs].sort((a, b) => a - b),
  );
  const [firstMs = 0] = timesMs;
  assert.ok(firstMs - clock.nowMs() >= minRetryAfterMs);
  assert.ok((timesMs.at(-1) ?? 0) - firstMs > 5_000);
});

// Guards against a job that came first, waited, and is told to come again after those that came later.
test('a job that is refused after later ones retries no later than they do', () => {
  const { refuse } = createFixture();
  const laterMs = [2, 3, 4].map((arrivedAtMs) => refuse(`j-${arrivedAtMs}`, arrivedAtMs));
  assert.ok(refuse('first', 1) <= Math.min(...laterMs));
});

// Guards against a job that loses its turn with each retry, and against turns far beyond what can be forecast.
test('a job that is refused again keeps the turn of its first arrival, and no turn is far away', async () => {
  const { clock, refuse } = createFixture();
  refuse('again', 0);
  await clock.advance(1_500);
  const othersMs = Array.from({ length: 400 }, (_, index) => refuse(`j-${index}`, 1_500 + index));
  assert.ok(refuse('again', 1_900) <= (othersMs.at(-1) ?? 0));
  assert.ok(Math.max(...othersMs) <= clock.nowMs() + maxRetryAfterMs);
});

test.run();
