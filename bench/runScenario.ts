/**
 * Runs one scenario on one system and measures it.
 */
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { SystemClock } from '../src/adapters/system/systemClock.js';
import type { Configuration } from '../src/types/configuration.js';
import { unreachable } from '../src/errors/unreachable.js';
import type { Clock } from '../src/ports/clock.js';
import type { Random } from '../src/ports/random.js';
import { SeededRandom } from '../src/testing/seededRandom.js';
import { topSpeed } from '../standins/fleet.js';
import { LoadTally } from '../standins/load/loadTally.js';
import { OpenLoopLoad } from '../standins/load/openLoopLoad.js';
import type { AnsweredRequest } from '../standins/load/openLoopLoad.js';
import { planLoad } from '../standins/load/requestPlan.js';
import type { PlannedRequest } from '../standins/load/requestPlan.js';
import { chooseOne } from '../standins/load/submissions.js';
import { sumMessageCounts } from '../standins/messageCounts.js';
import type { StartLedger } from '../standins/startLedger.js';
import { BaselineSystem } from './baseline/baselineSystem.js';
import { computeCapacityTasksPerS, readBenchConfiguration } from './benchConfiguration.js';
import type { RunMeasure, RunRequest } from './measures.js';
import { planPhases, resubmittedShareOf, injectFault } from './scenarios.js';
import type { SystemUnderTest, SystemKind } from './system.js';
import { readHeapMb, readThreadCpuMs } from './threadUsage.js';
import { ToucandykeSystem } from './toucandykeSystem.js';

const daemonsPerFailureDomain = 2;
const deadlineMs = 5_000;
const messagesPerExchange = 2;
const nsPerMs = 1_000_000;

/**
 * Runs one scenario until its last request is answered and its fault is healed.
 *
 * @param request - scenario, system, configuration, seed and duration
 * @returns the measures of the run
 */
export const runScenario = async (request: RunRequest): Promise<RunMeasure> => {
  const clock = SystemClock.create();
  const configuration = readBenchConfiguration(request.configurationFile);
  const requestPlan = createPlan(request, configuration);
  // The plan has its own generator, so that it is the same for every system.
  const random = SeededRandom.create(request.seed + 1);
  const system = await createSystem(request.system, { clock, configuration, random });
  const tally = LoadTally.create();
  const load = OpenLoopLoad.create({
    clock,
    random,
    operations: configuration.inventory.operations,
    topSpeed,
    tally,
    balance: () => chooseOne(random, system.addresses()),
    tokenOf: (caller) => `${caller.callerId}-example-token`,
  });
  const loopDelay = monitorEventLoopDelay({ resolution: 1 });
  loopDelay.enable();
  const cpuBeforeMs = readThreadCpuMs();
  const startedAtMs = clock.nowMs();
  const { scenario, durationMs } = request;
  const faultHealed = injectFault({ scenario, clock, system, durationMs });
  const answers = await load.run(requestPlan);
  await faultHealed;
  const elapsedMs = clock.nowMs() - startedAtMs;
  const cpuMs = readThreadCpuMs() - cpuBeforeMs;
  const heapMb = readHeapMb();
  loopDelay.disable();
  await load.close();
  await system.close();
  const { ledger } = system.fleet;
  return {
    request,
    classes: [tally.summarize('paying'), tally.summarize('trial')],
    startedTwice: ledger.startedTwice,
    wrongAnswers: tally.wrongAnswers,
    falseNotRun: countFalseNotRun(answers, ledger),
    ...measureMessages(system, elapsedMs),
    cpuMsPerDaemon: cpuMs / system.daemonCount,
    heapMbPerDaemon: heapMb / system.daemonCount,
    eventLoopDelayP99Ms: loopDelay.percentile(99) / nsPerMs,
  };
};

interface SystemDependencies {
  readonly clock: Clock;
  readonly configuration: Configuration;
  readonly random: Random;
}

const createSystem = (
  kind: SystemKind,
  dependencies: SystemDependencies,
): Promise<SystemUnderTest> => {
  const options = { ...dependencies, daemonsPerFailureDomain };
  switch (kind.kind) {
    case 'toucandyke':
      return ToucandykeSystem.create(options);
    case 'baseline':
      return BaselineSystem.create({ ...options, policy: { kind: kind.policy } });
    default:
      return unreachable(kind);
  }
};

const createPlan = (request: RunRequest, configuration: Configuration): PlannedRequest[] =>
  planLoad({
    random: SeededRandom.create(request.seed),
    inventory: configuration.inventory,
    phases: planPhases(request.scenario, {
      durationMs: request.durationMs,
      capacityTasksPerS: computeCapacityTasksPerS(configuration),
      trialSlotShare: configuration.rules.trialSlotShare,
    }),
    deadlineMs,
    resubmittedShare: resubmittedShareOf(request.scenario),
  });

/** Counts jobs that were refused as `not-run` although one of their tasks started. */
const countFalseNotRun = (answers: readonly AnsweredRequest[], ledger: StartLedger): number =>
  answers.filter(
    ({ request, outcome }) =>
      request.mode.kind !== 'lookup' &&
      outcome.kind === 'failed' &&
      outcome.runState === 'not-run' &&
      request.submission.tasks.some((t) => ledger.countStarts(t.operation, t.input) > 0),
  ).length;

type MessageMeasure = Pick<RunMeasure, 'startedTasks' | 'wasted' | 'heartbeatsPerS' | 'logAppends'>;

const measureMessages = (system: SystemUnderTest, elapsedMs: number): MessageMeasure => {
  const { fleet } = system;
  const counts = sumMessageCounts([...fleet.endpoints.values()].map((e) => e.messageCounts));
  const peers = system.peerMessages();
  const heartbeats = peers.find(({ method }) => method === 'heartbeat')?.count ?? 0;
  const exchanges = [
    { cause: 'busy', count: counts.busy },
    { cause: 'cancelled', count: counts.cancellations },
    { cause: 'renewed', count: counts.renewals },
    { cause: 'repeated', count: fleet.ledger.startedTwice + fleet.ledger.repeatedLookups },
    { cause: 'cut', count: counts.cut },
    ...peers
      .filter(({ method }) => method !== 'heartbeat')
      .map(({ method, count }) => ({ cause: `peer ${method}`, count })),
  ];
  const per1000 = (count: number): number =>
    (count * messagesPerExchange * 1_000) / Math.max(1, counts.started);
  return {
    startedTasks: counts.started,
    wasted: exchanges
      .filter(({ count }) => count > 0)
      .map(({ cause, count }) => ({ cause, messagesPer1000Tasks: per1000(count) })),
    heartbeatsPerS: (heartbeats * 1_000) / elapsedMs,
    logAppends: fleet.log.appendCount,
  };
};
