/**
 * Prints what one push and one take cost against the number of waiting tasks.
 */
import { performance } from 'node:perf_hooks';
import { SystemClock } from '../src/adapters/system/systemClock.js';
import { TaskQueue } from '../src/queue/taskQueue.js';
import type { WaitingTask } from '../src/queue/types.js';
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
