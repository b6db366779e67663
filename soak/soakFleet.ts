/**
 * The system under test of a soak: a store and workers that are stand-ins of the platform, and daemons
 * as child processes. Callers, store and workers are linked to the daemons through faulty proxies.
 */
import { composeRoutes, fixtureService } from '../standins/platform/routes.js';
import type { StartRecord } from '../standins/platform/standInRun.js';
import { StoreStandIn } from '../standins/platform/storeStandIn.js';
import { operatorTopic, shardCount, workerTopic } from '../standins/platform/topics.js';
import { WorkerStandIn } from '../standins/platform/workerStandIn.js';
import { DaemonChild } from '../standins/platform/daemonChild.js';
import { FaultyProxy } from './faultyProxy.js';
import { DisruptionLog } from './disruptionLog.js';
import { LoopbackNetwork } from './loopbackNetwork.js';
import type { InvalidEntry } from './faults.js';
import { composeInvalidEntry } from './invalidEntries.js';

const zones = ['east', 'west'];
/** Numbers of daemons and workers unless an option says otherwise. */
const defaultDaemonCount = 4;
const defaultWorkerCount = 6;
/** Capacity of a worker, in thousandths of a core. */
const workerCpuMillis = 32_000;
/** Kinds that the workers have in turn. */
export const workerKinds: readonly string[] = ['a', 'b'];
/** Clock rates and times of a stop in milliseconds that the workers have in turn. */
const clockRates = [1, 1, 0.98];
const stopTimesMs = [45, 10, 30, 40];
/** Third byte of the addresses of the daemons, and of the proxies of the workers. */
const daemonGroup = 0;
const proxyGroup = 1;
/** Address of the proxies that always listen. */
const proxyHost = '127.0.0.1';

/** A daemon with its proxies. */
export interface SoakDaemon {
  readonly child: DaemonChild;
  /** Proxy between the callers and the daemon. */
  readonly callers: FaultyProxy;
  /** Proxy between the daemon and the store. */
  readonly store: FaultyProxy;
}

/** A worker with its proxy. */
export interface SoakWorker {
  readonly worker: WorkerStandIn;
  /** Proxy between the daemons and the worker. */
  readonly proxy: FaultyProxy;
}

export interface SoakFleetOptions {
  /** Number of daemons, the first half in one failure domain. */
  readonly daemons?: number | undefined;
  /** Number of workers, the first half in one failure domain. */
  readonly workers?: number | undefined;
  /** Folder for the settings and logs of the daemons. */
  readonly folder: string;
  /** Path of the built program. */
  readonly program: string;
}

export class SoakFleet {
  readonly daemons: SoakDaemon[] = [];
  readonly workers: SoakWorker[] = [];
  /** Times in which a fault disrupts a daemon's service to its callers. */
  readonly disruptions = DisruptionLog.create();
  /** One sentence for each daemon process that exited unexpectedly. */
  readonly crashes: string[] = [];
  private routingVersion = 0;

  private constructor(
    readonly store: StoreStandIn,
    private readonly network: LoopbackNetwork,
    private readonly options: SoakFleetOptions,
  ) {}

  /** Starts the store, the workers and the daemons, with a configuration of one route. */
  static async create(options: SoakFleetOptions): Promise<SoakFleet> {
    const { daemons = defaultDaemonCount, workers = defaultWorkerCount } = options;
    const network = await LoopbackNetwork.reserve();
    const fleet = new SoakFleet(await StoreStandIn.create(shardCount), network, options);
    fleet.publishRoutes(1);
    for (let index = 0; index < workers; index += 1) {
      await fleet.addWorker(index, zoneAt(index, workers));
    }
    for (let index = 0; index < daemons; index += 1) {
      await fleet.addDaemon(index, zoneAt(index, daemons));
    }
    return fleet;
  }

  /** Publishes a routing configuration with a number of routes in the store. */
  publishRoutes(count: number): void {
    this.routingVersion += 1;
    const document = composeRoutes(this.routingVersion, count);
    this.store.log(operatorTopic).append('config', document);
  }

  /** Compacts the topics of the store, so that only the newest entry of each key is left. */
  compactStore(): void {
    this.store.log(workerTopic).compact();
    this.store.log(operatorTopic).compact();
  }

  /**
   * Writes an invalid entry, under the key of a live worker or under one that no worker has.
   *
   * @returns a function that puts right what the entry has replaced
   */
  publishInvalidEntry(entry: InvalidEntry, index: number, isOwnKey: boolean): () => void {
    const soak = this.workers[index];
    if (soak === undefined) {
      throw new Error(`The fleet has no worker ${index}.`);
    }
    const { worker, proxy } = soak;
    const log = this.store.log(workerTopic);
    const key = isOwnKey ? `i-invalid-${entry}-${index}` : worker.workerId;
    log.append(key, composeInvalidEntry(entry, worker.composeEntry('ready', proxy.address)));
    return () => {
      if (isOwnKey) {
        log.append(key, Buffer.alloc(0));
      } else if (!worker.isDown) {
        worker.onRestart();
      }
    };
  }

  /** @returns every task run that a worker started */
  starts(): StartRecord[] {
    return this.workers.flatMap(({ worker }) => worker.starts);
  }

  async close(): Promise<void> {
    await Promise.all(this.daemons.map(({ child }) => child.kill()));
    const daemonProxies = this.daemons.flatMap(({ callers, store }) => [callers, store]);
    await Promise.all(
      [...daemonProxies, ...this.workers.map(({ proxy }) => proxy)].map((one) => one.close()),
    );
    await Promise.all(this.workers.map(({ worker }) => worker.close()));
    await this.store.close();
    await this.network.close();
  }

  private async addWorker(index: number, zone: string): Promise<void> {
    const workerId = `i-${index}`;
    const worker = await WorkerStandIn.create({
      workerId,
      service: fixtureService,
      zone,
      cpu: workerCpuMillis,
      slowness: 1,
      kind: workerKinds[index % workerKinds.length] ?? '',
      clockRate: clockRates[index % clockRates.length] ?? 1,
      stopMs: stopTimesMs[index % stopTimesMs.length] ?? 0,
    });
    const proxy = await FaultyProxy.create(
      this.network.address(proxyGroup, index + 1),
      () => worker.address,
    );
    this.workers.push({ worker, proxy });
    const register = (): void => {
      this.store.log(workerTopic).append(workerId, worker.composeEntry('ready', proxy.address));
    };
    worker.onRestart = register;
    register();
  }

  private async addDaemon(index: number, zone: string): Promise<void> {
    const { folder, program } = this.options;
    const ip = this.network.address(daemonGroup, index + 1);
    const store = await FaultyProxy.create(proxyHost, () => this.store.address);
    const child = DaemonChild.create({
      vmId: `vm-${index}`,
      ip,
      zone,
      zones,
      storeAddress: store.address,
      shardCount,
      folder,
      program,
      onCrash: (detail) => this.crashes.push(detail),
    });
    const callers = await FaultyProxy.create(proxyHost, () => child.callersAddress);
    this.daemons.push({ child, callers, store });
    await child.start();
  }
}

/** @returns the failure domain of the daemon or worker at a position */
const zoneAt = (index: number, count: number): string => zones[index < count / 2 ? 0 : 1] ?? '';
