/**
 * `npm run bench:queue`: measures the time of taking, pushing and withdrawing tasks against the number of
 * waiting tasks, and of refreshing the quota limits.
 */
import { performance } from 'node:perf_hooks';
import { SystemClock } from '../src/adapters/system/systemClock.js';
import { ConfigurationStore } from '../src/configuration/configurationStore.js';
import { QuotaAllocator } from '../src/limits/quotaAllocator.js';
import { TaskQueue } from '../src/queue/taskQueue.js';
import type { PendingTask } from '../src/queue/types.js';
import { createConfiguration, createRecord } from '../src/testing/fixtures.js';
import { createQueueOperation, createWaitingTask } from '../src/testing/queueFixtures.js';
import { SeededRandom } from '../src/testing/seededRandom.js';

const waitingCounts = [100, 1_000, 10_000, 100_000];
const teams = 20;
const operationCount = 8;
const maxTasksPerJob = 230;
const minRounds = 200;
const maxRounds = 20_000;
/** Time after which a measurement ends early, once it has `minRounds`, in milliseconds. */
const maxMeasureMs = 3_000;
const seed = 7;
/** Teams with quotas, at the target's size. */
const quotaTeams = 190;
/** VMs of the daemons of one failure domain, at the target's size. */
const failureDomainVmIds = Array.from({ length: 12 }, (_, i) => `vm${i + 1}`);
const refreshRounds = 500;

const operations = Array.from({ length: operationCount }, (_, i) =>
  createQueueOperation(`operation${i}`, 50 * (i + 1)),
);

/** Which operations have a free slot. */
type Scenario = 'all operations can run' | 'one operation in eight can run';
const scenarios: readonly Scenario[] = ['all operations can run', 'one operation in eight can run'];

/** Creates tasks in jobs of 1 to 230, spread over teams, operations and both classes. */
const createTasks = (count: number): PendingTask[] => {
  const random = SeededRandom.create(seed);
  const randomInt = (below: number) => Math.floor(random.next() * below);
  const entries: PendingTask[] = [];
  for (let job = 0; entries.length < count; job += 1) {
    const team = randomInt(teams);
    const size = 1 + randomInt(maxTasksPerJob);
    const callerClass = team % 4 === 0 ? 'trial' : 'paying';
    for (let index = 0; index < size && entries.length < count; index += 1) {
      const operation = operations[randomInt(operationCount)];
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

/**
 * Takes a task, ends it and pushes it again, so that the number of waiting tasks stays the same.
 *
 * @returns microseconds for one round
 */
const measureTakeAndPushUs = (waiting: number, scenario: Scenario): number => {
  const queue = TaskQueue.create(SystemClock.create());
  createTasks(waiting).forEach((entry) => queue.push(entry));
  const onlyRunnable = operations[operationCount - 1];
  const canRun = (operation: (typeof operations)[number]) =>
    scenario === 'all operations can run' || operation === onlyRunnable;
  const startedAtMs = performance.now();
  let rounds = 0;
  while (rounds < maxRounds) {
    const entry = queue.takeNext(canRun);
    if (entry !== undefined) {
      queue.ended(entry, entry.task.operation.declaredRunTimeMs);
      queue.push(entry);
    }
    rounds += 1;
    if (rounds >= minRounds && performance.now() - startedAtMs > maxMeasureMs) {
      break;
    }
  }
  return ((performance.now() - startedAtMs) * 1_000) / rounds;
};

/**
 * Withdraws every waiting job, one after the other, as in a wave of cancellations.
 *
 * @returns microseconds for each task
 */
const measureWithdrawUs = (waiting: number): number => {
  const queue = TaskQueue.create(SystemClock.create());
  const entries = createTasks(waiting);
  entries.forEach((entry) => queue.push(entry));
  const jobIds = new Set(entries.map(({ task }) => task.jobId));
  const startedAtMs = performance.now();
  jobIds.forEach((jobId) => queue.withdraw(jobId));
  return ((performance.now() - startedAtMs) * 1_000) / waiting;
};

/**
 * Refreshes the limits of every team with a quota, as a heartbeat may.
 *
 * @returns microseconds for one refresh of all teams
 */
const measureRefreshUs = (): number => {
  const clock = SystemClock.create();
  const queue = TaskQueue.create(clock);
  const quotaAllocator = QuotaAllocator.create({
    incarnation: 'one',
    vmId: 'vm1',
    failureDomainId: 'muenchen',
    clock,
    queue,
    members: () => ({ vmIds: failureDomainVmIds, isFullyReachable: true }),
  });
  const configuration = createConfiguration();
  configuration.rules.quotas = Array.from({ length: quotaTeams }, (_, i) => ({
    teamId: `team${i}`,
    startsPerS: 100,
    slots: 50,
  }));
  const store = ConfigurationStore.create();
  store.onChange((active) => quotaAllocator.apply(active));
  store.apply(createRecord(1, configuration));
  const startedAtMs = performance.now();
  for (let i = 0; i < refreshRounds; i += 1) {
    quotaAllocator.refresh();
  }
  const costUs = ((performance.now() - startedAtMs) * 1_000) / refreshRounds;
  void quotaAllocator.close().then(() => queue.close());
  return costUs;
};

const printLine = (line: string) => process.stdout.write(`${line}\n`);

for (const scenario of scenarios) {
  measureTakeAndPushUs(1_000, scenario);
  const costsUs = waitingCounts.map((waiting) => measureTakeAndPushUs(waiting, scenario));
  printLine(`${scenario}: microseconds for one take, end and push`);
  waitingCounts.forEach((waiting, i) =>
    printLine(`  ${String(waiting).padStart(7)} waiting: ${(costsUs[i] ?? 0).toFixed(2)}`),
  );
  const decades = Math.log10((waitingCounts.at(-1) ?? 1) / (waitingCounts[0] ?? 1));
  const slope = Math.log10((costsUs.at(-1) ?? 1) / (costsUs[0] ?? 1)) / decades;
  printLine(`  slope: cost grows as waiting^${slope.toFixed(2)}`);
}

printLine('a wave of cancellations: microseconds for each waiting task');
for (const waiting of waitingCounts) {
  printLine(`  ${String(waiting).padStart(7)} waiting: ${measureWithdrawUs(waiting).toFixed(2)}`);
}
printLine(`${quotaTeams} quotas: ${measureRefreshUs().toFixed(0)} microseconds for one refresh`);
