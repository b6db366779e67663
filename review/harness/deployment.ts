/**
 * A small deployment: a store, workers, and daemons of the project as processes of their own.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { StoreStandIn } from '../../standins/platform/storeStandIn.js';
import { operatorTopic, shardCount } from '../../standins/platform/topics.js';
import { host, prefix } from './client.js';
import { Daemon, daemonPorts } from './daemon.js';
import { findFreeIp } from './loopback.js';
import type { Record } from './record.js';
import type { Run } from './run.js';
import { Worker, workerPorts } from './worker.js';

const serviceName = 'huvo11a';
const pollMs = 100;
const maxStartMs = 20_000;
/** Time for some heartbeats, so that each daemon knows the load of the others. */
const settleMs = 3_000;

export interface DeploymentOptions {
  readonly record: Record;
  /** Zone of each daemon. */
  readonly daemons: readonly string[];
  /** Zone and kind of each worker, such as `muenchen a`. */
  readonly workers: readonly string[];
  /** Thousandths of a core of each worker. */
  readonly workerCpu: number;
  /** Time-out of the route, in milliseconds. */
  readonly routeTimeoutMs: number;
}

export class Deployment {
  readonly daemons: Daemon[] = [];
  readonly workers: Worker[] = [];
  readonly service = serviceName;
  private readonly folder = mkdtempSync(join(tmpdir(), 'toucandyke-review-'));

  private constructor(
    readonly store: StoreStandIn,
    private readonly options: DeploymentOptions,
  ) {}

  /** Starts everything, and waits until each daemon is ready and each worker is served. */
  static async create(options: DeploymentOptions): Promise<Deployment> {
    const store = await StoreStandIn.create(shardCount);
    const deployment = new Deployment(store, options);
    const manifest = composeManifest(options.routeTimeoutMs);
    store.log(operatorTopic).append('config', Buffer.from(JSON.stringify(manifest)));
    const { record, workerCpu: cpu } = options;
    for (const [index, place] of options.workers.entries()) {
      const ip = await findFreeIp(workerPorts);
      const [zone = '', kind = ''] = place.split(' ');
      const workerId = `i-${index}${zone}${kind}`;
      const worker = await Worker.create({
        workerId,
        service: serviceName,
        zone,
        kind,
        ip,
        cpu,
        store,
        record,
      });
      deployment.workers.push(worker);
    }
    for (const zone of options.daemons) {
      await deployment.addDaemon(zone);
    }
    await deployment.waitUntilServing();
    return deployment;
  }

  /** Starts a daemon in a zone. */
  async addDaemon(zone: string): Promise<Daemon> {
    const daemon = Daemon.create({
      name: `front-${zone}-${this.daemons.length}`,
      ip: await findFreeIp(daemonPorts),
      zone,
      zones: [...new Set(this.options.daemons)],
      storeAddress: this.store.address,
      root: process.cwd(),
      folder: this.folder,
    });
    daemon.start();
    this.daemons.push(daemon);
    return daemon;
  }

  /** @returns every start that a worker has carried out */
  get runs(): Run[] {
    return this.workers.flatMap(({ runs }) => runs);
  }

  /** @returns the daemon at a position */
  daemon(index: number): Daemon {
    const daemon = this.daemons[index];
    if (daemon === undefined) {
      throw new Error(`There is no daemon ${index}.`);
    }
    return daemon;
  }

  /** @returns the daemons of a zone in the order of their addresses for each other */
  daemonsByAddress(zone: string): Daemon[] {
    const daemons = this.daemons.filter((daemon) => daemon.zone === zone);
    return daemons.sort((a, b) => (a.peerAddress < b.peerAddress ? -1 : 1));
  }

  /** @returns the workers of a kind to which a daemon dispatches, by the logs */
  workersServedBy(daemon: Daemon, kind: string): Worker[] {
    return this.workers.filter((worker) => {
      const times = this.daemons.map((one) => one.takeOverMs(worker.workerId));
      return worker.kind === kind && daemon.takeOverMs(worker.workerId) === Math.max(...times);
    });
  }

  /** Ends all processes that were started. */
  async close(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.kill()));
    await Promise.all(this.workers.map((worker) => worker.close()));
    await this.store.close();
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(this.folder, { recursive: true });
    } else {
      process.stdout.write(`Logs: ${this.folder}\n`);
    }
  }

  private async waitUntilServing(): Promise<void> {
    const endMs = performance.now() + maxStartMs;
    for (;;) {
      const ready = await Promise.all(this.daemons.map((daemon) => daemon.isReady()));
      if (ready.every((one) => one) && this.workers.every(({ orderCount }) => orderCount > 1)) {
        break;
      }
      if (performance.now() > endMs) {
        throw new Error('The deployment is not ready in time.');
      }
      await sleep(pollMs);
    }
    await sleep(settleMs);
    this.options.record.write(
      `deployment: ${this.daemons.map(({ name, ip }) => `${name} ${ip}`).join(', ')} are ready`,
    );
  }
}

const composeManifest = (timeoutMs: number): object => ({
  version: 7,
  routes: [
    {
      name: 'r-3hwrr6x',
      host,
      pathPrefix: prefix,
      kind: 'unsafe',
      timeoutMs,
      targetLatencyMs: 60,
      service: serviceName,
      maxAttempts: 3,
      stretch: 1.6,
    },
  ],
  services: [{ name: serviceName, admissionCheck: true }],
  limits: { maxBodyBytes: 262_144 },
});
