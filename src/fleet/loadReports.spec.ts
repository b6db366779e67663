import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { LogContext } from '../ports/logger.js';
import { toEarlierVersion } from '../testing/model/earlierVersion.js';
import { FakeClock } from '../testing/fakeClock.js';
import { ModelDaemon } from '../testing/model/modelDaemon.js';
import { ModelNetwork } from '../testing/model/modelNetwork.js';
import { ModelStore } from '../testing/model/modelStore.js';
import { ModelWorker } from '../testing/model/modelWorker.js';
import { routeFixture } from '../testing/dispatchFixtures.js';
import { silentLogger } from '../testing/silentLogger.js';

const warmUpMs = 5_000;
const failureDomainIds = ['east', 'west'];
const workersPerDaemon = 3;
const runMs = 100;

interface LoggedLine extends LogContext {
  readonly sentence: string;
  readonly daemon: string;
}

/** Two daemons in each of two failure domains; those with the given indexes are of the earlier version. */
const createFleet = async (earlierIndexes: readonly number[]) => {
  const time = FakeClock.create(1);
  const network = ModelNetwork.create(time);
  const { serviceId } = routeFixture;
  const store = ModelStore.create(time, network, {
    ...{ version: 1, routes: [routeFixture], maxBodyBytes: 1_000 },
    services: [{ serviceId, guardsCapacity: true }],
  });
  const lines: LoggedLine[] = [];
  const domainOf = (index: number): string => failureDomainIds[index % 2] ?? '';
  const workers = Array.from({ length: 4 * workersPerDaemon }, (_, index) =>
    ModelWorker.create({
      ...{ time, clockRate: 1, stopMs: 50, guardsCapacity: true, onRun: () => undefined },
      record: {
        ...{ workerId: `i-${index}`, address: `10.0.1.${index + 1}:8080`, serviceId },
        ...{ failureDomainId: domainOf(index), state: 'ready', labels: [] },
        capacity: { cpuMillis: 16_000, memoryMb: 65_536, accelerators: 0 },
      },
      publish: (workerId, entry) => store.publish(workerId, entry),
    }),
  );
  const addressOf = (index: number): string => `10.0.0.${index + 1}:7000`;
  const earlier = new Set(earlierIndexes.map(addressOf));
  const daemons: readonly ModelDaemon[] = Array.from({ length: 4 }, (_, index) =>
    ModelDaemon.create({
      ...{ time, network, store, failureDomainIds, failureDomainId: domainOf(index) },
      ...{ startsStateLifetime: true, address: addressOf(index), seed: index + 1 },
      workers: new Map(workers.map((worker) => [worker.workerId, worker])),
      createLogger: () => {
        const write = (sentence: string, context?: LogContext): void =>
          void lines.push({ sentence, daemon: addressOf(index), ...context });
        const logger = { ...silentLogger, info: write, warn: write, forPart: () => logger };
        return logger;
      },
      findServer: (address) => {
        const server = daemons.find((daemon) => daemon.address === address)?.server;
        const isEarlier = earlier.has(address) || earlier.has(addressOf(index));
        return server !== undefined && isEarlier ? toEarlierVersion(server) : server;
      },
    }),
  );
  await time.advance(warmUpMs);
  const ends: string[] = [];
  const submit = async (index: number, jobId: string): Promise<void> => {
    const intake = daemons[index]?.current?.daemon.intake;
    const match = intake?.findRoute(routeFixture.host, `${routeFixture.pathPrefix}${jobId}`);
    assert.ok(intake !== undefined && match?.kind === 'found');
    const needs = { resources: { cpuMillis: 4_000, memoryMb: 64, accelerators: 0 } };
    const spec = { attempt: jobId, runMs, cpuMillis: 4_000, isFailing: false, isDeadly: false };
    const job = {
      ...{ jobId, spec: JSON.stringify(spec), unsupported: [] },
      steps: [{ taskCount: 10, estimatedMs: runMs, after: [], needs }],
    };
    const end = await intake.submit(match.route, job, 1_500, new AbortController().signal);
    ends.push(end.kind);
  };
  /** Submits a job to each daemon in turn, every 25 ms. */
  const play = async (jobCount: number): Promise<void> => {
    for (let i = 0; i < jobCount; i += 1) {
      void submit(i % 4, String(Math.round(time.nowMs() * 100) + i).padStart(16, '0'));
      await time.advance(25);
    }
  };
  const setCut = (fault: 'silent' | undefined): void => {
    for (const [east, west] of [0, 2].flatMap((one) =>
      [1, 3].map((other) => [one, other] as const),
    )) {
      network.setFault(addressOf(east), addressOf(west), fault);
    }
  };
  const countLines = (sentence: string): number =>
    lines.filter((line) => line.sentence === sentence).length;
  const close = (): void => daemons.forEach((daemon) => daemon.kill());
  return { time, lines, ends, play, setCut, countLines, close };
};

const countEnds = (ends: readonly string[], kind: string): number =>
  ends.filter((end) => end === kind).length;

// Guards against plans that count on a domain which is cut off, and against one that is never known again.
test('the entries of a failure domain that is cut off expire, and both sides serve what they can', async () => {
  const { time, ends, play, setCut, countLines, close } = await createFleet([]);
  const known = 'The free capacity of a failure domain is known.';
  const unknown = 'The free capacity of a failure domain is no longer known.';
  await play(8);
  assert.is(countLines(known), 4);
  assert.is(countLines(unknown), 0);
  setCut('silent');
  await time.advance(2_500);
  assert.is(countLines(unknown), 4);
  const before = ends.length;
  await play(20);
  await time.advance(2_000);
  assert.is(ends.length - before, 20);
  assert.is(countEnds(ends.slice(before), 'completed'), 20);
  setCut(undefined);
  await time.advance(5_000);
  assert.is(countLines(known), 8);
  close();
});

// Guards against a fleet that stops serving while it is updated one daemon after the other.
test('daemons of the earlier version and of this one serve in one fleet', async () => {
  for (const earlierIndexes of [[0], [0, 1], [0, 2], [0, 1, 2, 3]]) {
    const { time, ends, play, countLines, close } = await createFleet(earlierIndexes);
    await play(60);
    await time.advance(2_000);
    assert.is(countEnds(ends, 'completed'), 60, earlierIndexes.join());
    assert.is(
      countLines(
        'Fields of a message are ignored, since they are not valid or of a service unknown here.',
      ),
      0,
    );
    close();
  }
});

test.run();
