/**
 * `npm run bench:fleet-load [-- --rates 1.0,1.2 --seconds 8 --seed 1 --daemons 8 --policy priority --restarts --trace]`: plays
 * arrivals of three routes against real daemons in virtual time, and prints by route how many jobs end within
 * their objective, how long tasks wait for a worker, and the share of the workers' cores in use. The same arrivals
 * are played against one queue with full knowledge of the workers, which bounds what any placement reaches.
 * `--restarts` stops daemons as planned meanwhile, in two overlapping series; `--trace` prints what the daemons log.
 */
import { parseArgs } from 'node:util';
import type { JobEnd } from '../src/ports/jobs.js';
import { FakeClock } from '../src/testing/fakeClock.js';
import { ModelDaemon } from '../src/testing/model/modelDaemon.js';
import { ModelNetwork } from '../src/testing/model/modelNetwork.js';
import type { ModelRun } from '../src/testing/model/modelRun.js';
import { ModelStore } from '../src/testing/model/modelStore.js';
import { ModelWorker } from '../src/testing/model/modelWorker.js';
import type { CreateLogger } from '../src/testing/model/modelFleet.js';
import { createTimedLogger } from '../src/testing/model/timedLogger.js';
import { schedulingPolicySchema } from '../src/types/schedulingPolicy.js';
import { silentLogger } from '../src/testing/silentLogger.js';
import { createArrivals, objectiveMsOf, routes, serviceId, workerSizes } from './load/arrivals.js';
import type { Arrival } from './load/arrivals.js';
import { playOneQueue } from './load/oneQueue.js';
import { PlannedRestarts } from './load/plannedRestarts.js';
import { printReport } from './load/loadReport.js';
import type { JobOutcome } from './load/loadReport.js';

const workerCount = 48;
const failureDomainId = 'one';
/** Time until the daemons serve their workers, in milliseconds. */
const warmUpMs = 5_000;
/** Time after the last arrival in which jobs end, in milliseconds. */
const settleMs = 4_000;
/** Time that a message to a daemon takes beyond the latency of the network, as in a busy VM, in milliseconds. */
const messageDelayMs = 3;

const { values } = parseArgs({
  options: {
    rates: { type: 'string', default: '0.8,1.0,1.2,1.4' },
    seconds: { type: 'string', default: '6' },
    seed: { type: 'string', default: '1' },
    daemons: { type: 'string', default: '8' },
    policy: { type: 'string', default: 'deadline' },
    restarts: { type: 'boolean', default: false },
    trace: { type: 'boolean', default: false },
  },
});

const createLogger: CreateLogger = values.trace
  ? createTimedLogger((line) => void process.stdout.write(`${line}\n`))
  : () => silentLogger;

const daemonCount = Number(values.daemons);
const schedulingPolicy = schedulingPolicySchema.parse(values.policy);

/** Plays arrivals against daemons. */
const playFleet = async (arrivals: readonly Arrival[], seconds: number): Promise<JobOutcome[]> => {
  const time = FakeClock.create(1);
  const network = ModelNetwork.create(time);
  const store = ModelStore.create(time, network, {
    version: 1,
    routes: [...routes],
    services: [{ serviceId, guardsCapacity: true }],
    maxBodyBytes: 262_144,
  });
  const runs: ModelRun[] = [];
  const workers = workerSizes(workerCount).map((cpuMillis, index) =>
    ModelWorker.create({
      ...{ time, clockRate: 1, stopMs: 50, guardsCapacity: true },
      record: {
        workerId: `i-${index}`,
        address: `10.0.1.${index + 1}:8080`,
        ...{ serviceId, failureDomainId, state: 'ready' },
        capacity: { cpuMillis, memoryMb: 65_536, accelerators: 0 },
        labels: [],
      },
      onRun: (run) => void runs.push(run),
      publish: (workerId, entry) => store.publish(workerId, entry),
    }),
  );
  const daemons: readonly ModelDaemon[] = Array.from({ length: daemonCount }, (_, index) =>
    ModelDaemon.create({
      ...{ time, network, store, failureDomainId, failureDomainIds: [failureDomainId] },
      ...{ startsStateLifetime: true, createLogger, schedulingPolicy },
      workers: new Map(workers.map((worker) => [worker.workerId, worker])),
      address: `10.0.0.${index + 1}:7000`,
      seed: index + 1,
      findServer: (address) => daemons.find((daemon) => daemon.address === address)?.server,
    }),
  );
  daemons.forEach(({ address }) => network.setDelayTo(address, messageDelayMs));
  await time.advance(warmUpMs);
  const restarts = values.restarts
    ? PlannedRestarts.begin(time, daemons, { workerCount, untilMs: seconds * 1_000 })
    : undefined;
  const outcomes: JobOutcome[] = [];
  const submit = async (arrival: Arrival): Promise<void> => {
    const { jobId, route, runsMs, estimatedMs, cpuMillis, deadlineMs, daemon } = arrival;
    const index = daemon % daemonCount;
    const reached = restarts === undefined ? daemons[index] : restarts.reachedBy(index);
    const intake = reached?.current?.daemon.intake;
    const match = intake?.findRoute(route.host, `${route.pathPrefix}${jobId}`);
    if (intake === undefined || match?.kind !== 'found') {
      throw new Error(`The route ${route.routeId} is not served.`);
    }
    const sentAtMs = time.nowMs();
    const end: JobEnd = await intake.submit(
      match.route,
      {
        jobId,
        spec: JSON.stringify({
          ...{ attempt: jobId, runMs: 0, runMsByTask: runsMs, cpuMillis },
          ...{ isFailing: false, isDeadly: false },
        }),
        steps: [
          {
            ...{ taskCount: runsMs.length, estimatedMs, after: [] },
            needs: { resources: { cpuMillis, memoryMb: 64, accelerators: 0 } },
          },
        ],
        unsupported: [],
      },
      deadlineMs,
      new AbortController().signal,
    );
    const durationMs = time.nowMs() - sentAtMs;
    outcomes.push({ arrival, end: end.kind, durationMs });
    restarts?.recordEnd(arrival, end, durationMs <= objectiveMsOf(arrival));
  };
  let elapsedMs = 0;
  for (const arrival of arrivals) {
    await time.advance(arrival.atMs - elapsedMs);
    elapsedMs = arrival.atMs;
    void submit(arrival);
  }
  await time.advance(settleMs);
  restarts?.print();
  daemons.forEach((daemon) => daemon.kill());
  return outcomes;
};

const seconds = Number(values.seconds);
for (const rate of values.rates.split(',').map(Number)) {
  const arrivals = createArrivals({ seed: Number(values.seed), rate, seconds, workerCount });
  const startedAtMs = performance.now();
  const fleet = await playFleet(arrivals, seconds);
  const elapsedS = (performance.now() - startedAtMs) / 1_000;
  printReport(`daemons, load ${rate}`, arrivals, fleet, objectiveMsOf);
  printReport(
    `one queue, load ${rate}`,
    arrivals,
    playOneQueue(arrivals, workerSizes(workerCount)),
    objectiveMsOf,
  );
  process.stdout.write(`  played in ${elapsedS.toFixed(1)} s\n`);
}
process.exit(0);
