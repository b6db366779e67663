/**
 * A small platform with daemons of the product, all in one process: for tests and for profiles.
 */
import { createServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { PlatformProcess } from '../../src/programs/toucandyked/platformProcess.js';
import type { PlatformSettings } from '../../platform/settings.js';
import type { LineWriter } from '../../src/adapters/system/roarrLogger.js';
import { composeRoutes, fixtureHost, fixturePrefix, fixtureService } from './routes.js';
import { StoreStandIn } from './storeStandIn.js';
import { operatorTopic, shardCount, workerTopic } from './topics.js';
import { WorkerStandIn } from './workerStandIn.js';
import { findDoubled } from './standInRun.js';
import type { StartRecord } from './standInRun.js';

const readyPollMs = 20;

export interface PlatformFixtureOptions {
  /** Failure domain of each daemon. */
  readonly daemons: readonly string[];
  /** Failure domain of each worker. */
  readonly workers: readonly string[];
  readonly cpu?: number;
  readonly writeLog?: LineWriter;
}

/** The answer to a request of a test's client. */
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

  /** Starts a platform, and waits until each daemon is ready and knows all workers. */
  static async create(options: PlatformFixtureOptions): Promise<PlatformFixture> {
    const fixture = new PlatformFixture(await StoreStandIn.create(shardCount));
    fixture.publishRoutes(1);
    for (const [index, zone] of options.workers.entries()) {
      await fixture.addWorker(`i-${index}`, zone, options.cpu ?? 32_000);
    }
    for (const [index, zone] of options.daemons.entries()) {
      await fixture.addDaemon(`vm-${index}`, zone, options.writeLog ?? (() => undefined));
    }
    await fixture.untilServing(options.workers.length);
    return fixture;
  }

  async addWorker(workerId: string, zone: string, cpu: number, slowness = 1): Promise<void> {
    const service = fixtureService;
    const worker = await WorkerStandIn.create({ workerId, service, zone, cpu, slowness });
    this.workers.push(worker);
    this.store.log(workerTopic).append(workerId, worker.entry());
  }

  /** Writes the entry of a worker again, with another state. */
  announce(worker: WorkerStandIn, state: 'ready' | 'draining'): void {
    this.store.log(workerTopic).append(worker.workerId, worker.entry(state));
  }

  /** Writes an entry that names no worker. */
  announceRaw(key: string, value: Buffer): void {
    this.store.log(workerTopic).append(key, value);
  }

  async addDaemon(vmId: string, zone: string, writeLog: LineWriter): Promise<PlatformProcess> {
    const settings: PlatformSettings = {
      vmId,
      failureDomainId: zone,
      failureDomainIds: ['east', 'west'],
      listen: {
        callers: await freeAddress(),
        readiness: await freeAddress(),
        peers: await freeAddress(),
      },
      metricsAddress: await freeAddress(),
      storeAddress: this.store.address,
      shardCount,
      minMemberTtlMs: 1_000,
      weight: 1,
      maxLeaseMs: 1_000,
      farRackFactor: 1.5,
      stopGraceMs: 6_000,
    };
    const daemon = await PlatformProcess.create(settings, writeLog);
    this.daemons.push(daemon);
    return daemon;
  }

  /**
   * Publishes a routing configuration with a number of routes; the first is the one of the fixture.
   */
  publishRoutes(count: number): number {
    this.version += 3;
    this.store.log(operatorTopic).append('config', composeRoutes(this.version, count));
    return this.version;
  }

  /** Waits until the daemons order all workers together. */
  async untilServing(workerCount: number): Promise<void> {
    const count = (): number =>
      this.daemons.reduce((sum, daemon) => sum + daemon.openWorkerCount, 0);
    while (count() < workerCount || !this.daemons.every((daemon) => daemon.isReady)) {
      await sleep(readyPollMs);
    }
    // One round of heartbeats, so that each knows the room of the others.
    await sleep(300);
  }

  /** Sends a job of equal tasks. */
  async submit(
    daemon: PlatformProcess,
    jobId: string,
    job: {
      readonly tasks: number;
      readonly runMs: number;
      readonly cpu?: number;
      readonly fails?: boolean;
    },
    signal?: AbortSignal,
  ): Promise<FixtureAnswer> {
    const cpu = job.cpu ?? 14_000;
    const spec = { runMs: job.runMs, cpu, ...(job.fails === true ? { fails: true } : {}) };
    const steps = [{ count: job.tasks, cpu, memMb: 64, estimatedMs: job.runMs }];
    return this.post(
      daemon,
      `${fixturePrefix}${jobId}`,
      { taskSpec: JSON.stringify(spec), steps, bestEffort: true },
      signal,
    );
  }

  async post(
    daemon: PlatformProcess,
    path: string,
    body: unknown,
    signal?: AbortSignal,
  ): Promise<FixtureAnswer> {
    const { request } = await import('undici');
    const response = await request(`http://${daemon.callersAddress}${path}`, {
      method: 'POST',
      headers: {
        host: fixtureHost,
        'content-type': 'application/json',
        'x-toucandyke-deadline-ms': '1500',
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

  /** @returns every start that a worker carried out */
  starts(): StartRecord[] {
    return this.workers.flatMap(({ starts }) => starts);
  }

  /** @returns tasks of which two runs went on at the same time */
  doubled(): string[] {
    return findDoubled(this.starts());
  }

  async close(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.kill()));
    await Promise.all(this.workers.map((worker) => worker.close()));
    await this.store.close();
  }
}

/** Ports below those that the system gives to outgoing connections. */
const firstPort = 12_000;
const portRange = 18_000;
const portsPerProcess = 40;
let portOffset = (process.pid * portsPerProcess) % portRange;

/** @returns an address on which nothing listens */
const freeAddress = async (): Promise<string> => {
  for (;;) {
    const port = firstPort + portOffset;
    portOffset = (portOffset + 1) % portRange;
    if (await isFree(port)) {
      return `127.0.0.1:${port}`;
    }
  }
};

const isFree = async (port: number): Promise<boolean> => {
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
