import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { noMetrics } from '../adapters/system/noMetrics.js';
import { JobContext } from '../bestEffort/jobContext.js';
import { RunTimePredictor } from '../bestEffort/runTimePredictor.js';
import { unconfirmedLeaseTimes } from '../dispatch/leaseTimes.js';
import { routeFixture } from '../testing/dispatchFixtures.js';
import { FakeClock } from '../testing/fakeClock.js';
import { SeededRandom } from '../testing/seededRandom.js';
import { silentLogger } from '../testing/silentLogger.js';
import type { Route } from '../types/routing.js';
import { JobAdmission } from './jobAdmission.js';

const slotCount = 80;
const cpuMillis = 16_000;
const playMs = 20_000;

/** A route whose jobs have `meanTasks` tasks and use `slots` of the pool on average. */
interface Kind {
  readonly route: Route;
  readonly meanTasks: number;
  readonly runMs: number;
  readonly slots: number;
}

interface Outcome {
  readonly routeId: string;
  readonly taskCount: number;
  readonly isRefused: boolean;
  readonly isInTime: boolean;
}

const kindOf = (priority: number, meanTasks: number, runMs: number, slots: number): Kind => ({
  route: { ...routeFixture, routeId: `p${priority}`, priority },
  ...{ meanTasks, runMs, slots },
});

/** Plays arrivals against a pool whose tasks start in the order of admission. */
const play = async (kinds: readonly Kind[]): Promise<Outcome[]> => {
  const clock = FakeClock.create();
  const random = SeededRandom.create(7);
  const freeAtMs = Array.from({ length: slotCount }, () => 0);
  const countFree = (): number => freeAtMs.filter((atMs) => atMs <= clock.nowMs()).length;
  const admission = JobAdmission.create({
    ...{ clock, random, logger: silentLogger, metrics: noMetrics, schedulingPolicy: 'priority' },
    serviceLoadOf: () => ({
      ...{ freeCpuMillis: countFree() * cpuMillis, capacityCpuMillis: slotCount * cpuMillis },
    }),
  });
  const outcomes: Outcome[] = [];
  const submit = async ({ route }: Kind, taskCount: number, runMs: number): Promise<void> => {
    const needs = { resources: { cpuMillis, memoryMb: 64, accelerators: 0 } };
    const job = JobContext.create({
      ...{ clock, route, lengths: RunTimePredictor.create(), deadlineMs: 10_000, waitedMs: 0 },
      leaseTimes: unconfirmedLeaseTimes(1_000),
      request: {
        ...{ jobId: `j-${random.id()}`, spec: '', unsupported: [] },
        steps: [{ taskCount, estimatedMs: runMs, after: [], needs }],
      },
    });
    admission.recordArrival(job);
    const end = (isRefused: boolean, endsAtMs: number): void => {
      const isInTime = !isRefused && endsAtMs <= job.arrivedAtMs + job.objectiveMs;
      outcomes.push({ routeId: route.routeId, taskCount, isRefused, isInTime });
    };
    for (;;) {
      const nowMs = clock.nowMs();
      freeAtMs.sort((a, b) => a - b);
      const startsAtMs = freeAtMs.slice(0, taskCount).map((atMs) => Math.max(atMs, nowMs));
      const lastMs = Math.max(...startsAtMs);
      const decision = admission.decide(job, job.demandOf(0), {
        ...{ longestWaitMs: lastMs - nowMs, endsInMs: lastMs - nowMs + runMs },
        oldestReportAgeMs: 0,
      });
      if (decision.kind === 'refuse') {
        end(true, nowMs);
        return;
      }
      if (decision.kind === 'admit') {
        admission.recordAdmission(job);
        startsAtMs.forEach((atMs, index) => {
          freeAtMs[index] = atMs + runMs;
        });
        end(false, lastMs + runMs);
        return;
      }
      await clock.sleep(decision.waitMs);
    }
  };
  const arrive = async (kind: Kind): Promise<void> => {
    const gapMs = (kind.meanTasks * kind.runMs) / kind.slots;
    for (;;) {
      await clock.sleep(-Math.log(1 - random.next()) * gapMs);
      const taskCount = Math.max(1, Math.round(kind.meanTasks * (0.4 + 1.2 * random.next())));
      void submit(kind, taskCount, kind.runMs * (0.6 + 0.8 * random.next()));
    }
  };
  kinds.forEach((kind) => void arrive(kind));
  await clock.advance(playMs);
  return outcomes;
};

const shareOf = (
  outcomes: readonly Outcome[],
  routeId: string,
  has: (outcome: Outcome) => boolean,
): number => {
  const ofRoute = outcomes.filter((outcome) => outcome.routeId === routeId);
  return ofRoute.filter(has).length / ofRoute.length;
};
const isInTime = (outcome: Outcome): boolean => outcome.isInTime;
const isRefused = (outcome: Outcome): boolean => outcome.isRefused;

// Guards against refusals while everything can be served.
test('while there is capacity for all, all are admitted', async () => {
  const outcomes = await play([kindOf(0, 6, 50, 10), kindOf(1, 2, 170, 20), kindOf(2, 4, 760, 10)]);
  assert.ok(outcomes.length > 1_000);
  assert.ok(outcomes.filter(isRefused).length <= 0.01 * outcomes.length);
});

// Guards against a burst of one route that pushes the callers of a more urgent one past their objective.
test('a burst of a less urgent route costs the more urgent one nothing', async () => {
  const outcomes = await play([kindOf(0, 6, 50, 15), kindOf(1, 2, 170, 100)]);
  const urgent = shareOf(outcomes, 'p0', isInTime);
  assert.ok(urgent >= 0.9, `${urgent}`);
  assert.ok(urgent >= shareOf(outcomes, 'p1', isInTime));
});

// Guards against a load slightly beyond the limit that ends in many refusals, or in those of the urgent route.
test('slightly beyond the limit few are refused, the least urgent first', async () => {
  const outcomes = await play([kindOf(0, 6, 50, 15), kindOf(1, 2, 170, 45), kindOf(2, 4, 760, 24)]);
  const refused = ['p0', 'p1', 'p2'].map((routeId) => shareOf(outcomes, routeId, isRefused));
  assert.ok(outcomes.filter(isRefused).length <= 0.1 * outcomes.length, refused.join());
  assert.ok((refused[0] ?? 1) <= (refused[1] ?? 0), refused.join());
  assert.ok((refused[1] ?? 1) <= (refused[2] ?? 0), refused.join());
});

// Guards against a less urgent route that gets nothing while a more urgent one could use everything.
test('no route starves under a load of more urgent ones', async () => {
  const outcomes = await play([kindOf(0, 6, 50, 100), kindOf(1, 2, 170, 30)]);
  const served = shareOf(outcomes, 'p1', isInTime);
  assert.ok(served >= 0.3, `${served}`);
});

// Guards against an admission that serves a route by refusing whatever is large.
test('the largest jobs of a route are refused at most twice as often as its jobs on average', async () => {
  const outcomes = await play([kindOf(0, 6, 50, 25), kindOf(1, 4, 170, 75)]);
  for (const [routeId, largest] of [
    ['p0', 9],
    ['p1', 6],
  ] as const) {
    const all = shareOf(outcomes, routeId, isRefused);
    const large = outcomes.filter(({ taskCount }) => taskCount >= largest);
    const ofLarge = shareOf(large, routeId, isRefused);
    assert.ok(ofLarge <= 2 * all + 0.01, `${routeId}: ${ofLarge} of the largest, ${all} of all`);
  }
});

test.run();
