/**
 * A small platform of stand-ins with real daemons, all in one process, for tests and profiling.
 */
import { createServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { completeClientLimits } from '../../src/limits/clientLimits.js';
import { PlatformProcess } from '../../src/programs/toucandyked/platformProcess.js';
import type { PlatformSettings } from '../../platform/settings.js';
import type { LineWriter } from '../../src/adapters/system/roarrLogger.js';
import { composeRoutes, fixtureHost, fixturePrefix, fixtureService } from './routes.js';
import { StoreStandIn } from './storeStandIn.js';
import { operatorTopic, shardCount, workerTopic } from './topics.js';
import { WorkerStandIn } from './workerStandIn.js';
import { findTasksWithOverlappingRuns } from './standInRun.js';
import type { StandInSpec, StartRecord } from './standInRun.js';

const readyPollMs = 20;
/** Longest time between two heartbeats, after which each daemon has the free capacity of the others. */
const heartbeatRoundMs = 1_600;

export interface PlatformFixtureOptions {
  /** Failure domain of each daemon. */
  readonly daemons: readonly string[];
  /** Failure domain of each worker. */
  readonly workers: readonly string[];
  /** CPU of each worker in thousandths of a core; 32 cores by default. */
  readonly cpu?: number;
  /** Receives the log lines of the daemons, which are discarded by default. */
  readonly writeLog?: LineWriter;
}

/** The answer of a daemon to a caller's request. */
export interface FixtureAnswer {
  readonly status: number;
  readonly body: unknown;
  readonly retryAfter: string | null;
}

export class PlatformFixture {
  readonly daemons: PlatformProcess[] = [];
  readonly workers: WorkerStandIn[] = [];
  private version = 1;

  private constructor(readonly store: StoreStandIn) {}

  /** Starts store, workers and daemons, and waits until the daemons serve all workers. */
  static async create(options: PlatformFixtureOptions): Promise<PlatformFixture> {
    const fixture = new PlatformFixture(await StoreStandIn.create(shardCount));
    fixture.publishRoutes(1);
    for (const [index, zone] of options.workers.entries()) {
      await fixture.addWorker(`i-${index}`, zone, options.cpu ?? 32_000);
    }
    for (const [index, zone] of options.daemons.entries()) {
      await fixture.addDaemon(`vm-${index}`, zone, options.writeLog ?? (() => undefined));
    }
    await fixture.waitUntilServing(options.workers.length);
    return fixture;
  }

  /** Starts a worker and registers it in the store. */
  async addWorker(workerId: string, zone: string, cpu: number, slowness = 1): Promise<void> {
    const service = fixtureService;
    const worker = await WorkerStandIn.create({ workerId, service, zone, cpu, slowness });
    this.workers.push(worker);
    this.store.log(workerTopic).append(workerId, worker.composeEntry());
  }

  /** Updates the registration of a worker with a state. */
  publishWorkerState(worker: WorkerStandIn, state: 'ready' | 'draining'): void {
    this.store.log(workerTopic).append(worker.workerId, worker.composeEntry(state));
  }

  /** Writes a registration with any content, such as one that is not valid. */
  publishRawEntry(key: string, value: Buffer): void {
    this.store.log(workerTopic).append(key, value);
  }

  /** Starts a daemon on free ports, with leases and member timeouts of 1 s. */
  async addDaemon(vmId: string, zone: string, writeLog: LineWriter): Promise<PlatformProcess> {
    const settings: PlatformSettings = {
      vmId,
      failureDomainId: zone,
      failureDomainIds: ['east', 'west'],
      listen: {
        callers: await findFreeAddress(),
        readiness: await findFreeAddress(),
        peers: await findFreeAddress(),
      },
      metricsAddress: await findFreeAddress(),
      storeAddress: this.store.address,
      shardCount,
      minMemberTtlMs: 1_000,
      weight: 1,
      maxLeaseMs: 1_000,
      farRackFactor: 1.5,
      clientLimits: completeClientLimits(),
      stopGraceMs: 6_000,
    };
    const daemon = await PlatformProcess.create(settings, writeLog);
    this.daemons.push(daemon);
    return daemon;
  }

  /**
   * Publishes a routing configuration. Its first route is the one under `fixturePrefix`.
   *
   * @param count - number of routes
   * @returns the version of the configuration
   */
  publishRoutes(count: number): number {
    this.version += 3;
    this.store.log(operatorTopic).append('config', composeRoutes(this.version, count));
    return this.version;
  }

  /** Waits until the daemons together dispatch to this many workers and each daemon is ready. */
  async waitUntilServing(workerCount: number): Promise<void> {
    const count = (): number =>
      this.daemons.reduce((sum, daemon) => sum + daemon.openWorkerCount, 0);
    while (count() < workerCount || !this.daemons.every((daemon) => daemon.isReady)) {
      await sleep(readyPollMs);
    }
    await sleep(heartbeatRoundMs);
  }

  /** Submits a job with one step of equal tasks, and returns the answer. */
  async submit(
    daemon: PlatformProcess,
    jobId: string,
    job: {
      readonly tasks: number;
      readonly runMs: number;
      readonly cpu?: number;
      readonly fails?: boolean;
      /** Whether the first task crashes each worker that starts it. */
      readonly crashes?: boolean;
      /** Time from its start to the crash, in milliseconds. */
      readonly crashAfterMs?: number;
      /** How long the caller waits, in milliseconds. */
      readonly deadlineMs?: number;
    },
    signal?: AbortSignal,
  ): Promise<FixtureAnswer> {
    const cpu = job.cpu ?? 14_000;
    const spec: StandInSpec = {
      runMs: job.runMs,
      cpu,
      ...(job.fails === true ? { fails: true } : {}),
      ...(job.crashes === true
        ? { crashingTask: `${jobId}.0.0.0`, crashAfterMs: job.crashAfterMs }
        : {}),
    };
    const steps = [{ count: job.tasks, cpu, memMb: 64, estimatedMs: job.runMs }];
    return this.post(
      daemon,
      `${fixturePrefix}${jobId}`,
      { taskSpec: JSON.stringify(spec), steps, bestEffort: true },
      signal,
      job.deadlineMs,
    );
  }

  /** Sends a POST request; a string is sent as it is, all else as JSON. */
  async post(
    daemon: PlatformProcess,
    path: string,
    body: unknown,
    signal?: AbortSignal,
    deadlineMs = 1_500,
  ): Promise<FixtureAnswer> {
    const { request } = await import('undici');
    const response = await request(`http://${daemon.callersAddress}${path}`, {
      method: 'POST',
      headers: {
        host: fixtureHost,
        'content-type': 'application/json',
        'x-toucandyke-deadline-ms': String(deadlineMs),
      },
      body: typeof body === 'string' ? body : JSON.stringify(body),
      ...(signal === undefined ? {} : { signal }),
    });
    const retryAfter = response.headers['retry-after'];
    return {
      status: response.statusCode,
      body: await response.body.json(),
      retryAfter: typeof retryAfter === 'string' ? retryAfter : null,
    };
  }

  /** @returns every start that any worker carried out */
  starts(): StartRecord[] {
    return this.workers.flatMap(({ starts }) => starts);
  }

  /** @returns tasks of which two runs overlapped in time */
  tasksWithOverlappingRuns(): string[] {
    return findTasksWithOverlappingRuns(this.starts());
  }

  async close(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.kill()));
    await Promise.all(this.workers.map((worker) => worker.close()));
    await this.store.close();
  }
}

/** Ports below the range from which Linux chooses the ports of outgoing connections. */
const firstPort = 12_000;
const portRange = 18_000;
/** Distance of the first ports of processes with successive ids, which may run at the same time. */
const portsPerProcess = 40;
let nextPortOffset = (process.pid * portsPerProcess) % portRange;

/** @returns a loopback address on which nothing listens; each call tries the ports after the last */
const findFreeAddress = async (): Promise<string> => {
  for (;;) {
    const port = firstPort + nextPortOffset;
    nextPortOffset = (nextPortOffset + 1) % portRange;
    if (await isPortFree(port)) {
      return `127.0.0.1:${port}`;
    }
  }
};

const isPortFree = async (port: number): Promise<boolean> => {
  const server = createServer();
  const isListening = await new Promise<boolean>((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => resolve(true));
  });
  if (isListening) {
    await new Promise((resolve) => server.close(resolve));
  }
  return isListening;
};
