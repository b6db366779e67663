/**
 * Prints what one push and one take cost against the number of waiting tasks.
 */
import { performance } from 'node:perf_hooks';
import { SystemClock } from '../src/adapters/system/systemClock.js';
import { ConfigurationStore } from '../src/configuration/configurationStore.js';
import { QuotaKeeper } from '../src/limits/quotaKeeper.js';
import { TaskQueue } from '../src/queue/taskQueue.js';
import type { WaitingTask } from '../src/queue/types.js';
import { createConfiguration, createRecord } from '../src/testing/fixtures.js';
import { createQueueOperation, createWaitingTask } from '../src/testing/queueFixtures.js';
import { SeededRandom } from '../src/testing/seededRandom.js';

const waitingCounts = [100, 1_000, 10_000, 100_000];
const teams = 20;
const operationCount = 8;
const maxTasksPerJob = 230;
const minRounds = 200;
const maxRounds = 20_000;
/** Time after which a measurement ends early. */
const budgetMs = 3_000;
const seed = 7;
/** Teams with quotas and daemons of one failure domain at the target's size. */
const quotaTeams = 190;
const domainVmIds = Array.from({ length: 12 }, (_, i) => `vm${i + 1}`);
const refreshRounds = 500;

const operations = Array.from({ length: operationCount }, (_, i) =>
  createQueueOperation(`operation${i}`, 50 * (i + 1)),
);

/** Which operations have a free slot. */
type Scenario = 'all operations can run' | 'one operation in eight can run';
const scenarios: readonly Scenario[] = ['all operations can run', 'one operation in eight can run'];

/** Creates tasks in jobs of 1 to 230, spread over teams, operations and both classes. */
const createTasks = (count: number): WaitingTask[] => {
  const random = SeededRandom.create(seed);
  const pick = (below: number) => Math.floor(random.next() * below);
  const entries: WaitingTask[] = [];
  for (let job = 0; entries.length < count; job += 1) {
    const team = pick(teams);
    const size = 1 + pick(maxTasksPerJob);
    const callerClass = team % 4 === 0 ? 'trial' : 'paying';
    for (let index = 0; index < size && entries.length < count; index += 1) {
      const operation = operations[pick(operationCount)];
      if (operation !== undefined) {
        const jobId = `job${job}`;
        entries.push(
          createWaitingTask({ jobId, teamId: `team${team}`, callerClass, operation, index }),
        );
      }
    }
  }
  return entries;
};

/** Takes one task and pushes it again, over and over; the number that waits stays as it is. */
const measurePairUs = (waiting: number, scenario: Scenario): number => {
  const queue = TaskQueue.create(SystemClock.create());
  createTasks(waiting).forEach((entry) => queue.push(entry));
  const last = operations[operationCount - 1];
  const canRun = (operation: (typeof operations)[number]) =>
    scenario === 'all operations can run' || operation === last;
  const startedAtMs = performance.now();
  let rounds = 0;
  while (rounds < maxRounds) {
    const entry = queue.take(canRun);
    if (entry !== undefined) {
      queue.ended(entry, entry.task.operation.declaredRunTimeMs);
      queue.push(entry);
    }
    rounds += 1;
    if (rounds >= minRounds && performance.now() - startedAtMs > budgetMs) {
      break;
    }
  }
  return ((performance.now() - startedAtMs) * 1_000) / rounds;
};

/** Cancels every job that waits, one after the other, as a wave of cancellations does. */
const measureWithdrawUs = (waiting: number): number => {
  const queue = TaskQueue.create(SystemClock.create());
  const entries = createTasks(waiting);
  entries.forEach((entry) => queue.push(entry));
  const jobIds = new Set(entries.map(({ task }) => task.jobId));
  const startedAtMs = performance.now();
  jobIds.forEach((jobId) => queue.withdraw(jobId));
  return ((performance.now() - startedAtMs) * 1_000) / waiting;
};

/** Brings the limits of every team with a quota up to date, as each heartbeat may. */
const measureRefreshUs = (): number => {
  const clock = SystemClock.create();
  const queue = TaskQueue.create(clock);
  const keeper = QuotaKeeper.create({
    incarnation: 'one',
    vmId: 'vm1',
    failureDomainId: 'muenchen',
    clock,
    queue,
    members: () => ({ vmIds: domainVmIds, isWhole: true }),
  });
  const configuration = createConfiguration();
  configuration.rules.quotas = Array.from({ length: quotaTeams }, (_, i) => ({
    teamId: `team${i}`,
    startsPerS: 100,
    slots: 50,
  }));
  const store = ConfigurationStore.create();
  store.onChange((active) => keeper.apply(active));
  store.apply(createRecord(1, configuration));
  const startedAtMs = performance.now();
  for (let i = 0; i < refreshRounds; i += 1) {
    keeper.refresh();
  }
  const costUs = ((performance.now() - startedAtMs) * 1_000) / refreshRounds;
  void keeper.close().then(() => queue.close());
  return costUs;
};

const print = (line: string) => process.stdout.write(`${line}\n`);

for (const scenario of scenarios) {
  measurePairUs(1_000, scenario);
  const costsUs = waitingCounts.map((waiting) => measurePairUs(waiting, scenario));
  print(`${scenario}: microseconds for one take, ended and push`);
  waitingCounts.forEach((waiting, i) =>
    print(`  ${String(waiting).padStart(7)} waiting: ${(costsUs[i] ?? 0).toFixed(2)}`),
  );
  const decades = Math.log10((waitingCounts.at(-1) ?? 1) / (waitingCounts[0] ?? 1));
  const slope = Math.log10((costsUs.at(-1) ?? 1) / (costsUs[0] ?? 1)) / decades;
  print(`  slope: cost grows as waiting^${slope.toFixed(2)}`);
}

print('a wave of cancellations: microseconds for each waiting task');
for (const waiting of waitingCounts) {
  print(`  ${String(waiting).padStart(7)} waiting: ${measureWithdrawUs(waiting).toFixed(2)}`);
}
print(`${quotaTeams} quotas: ${measureRefreshUs().toFixed(0)} microseconds for one refresh`);
