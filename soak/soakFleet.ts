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

const zones = ['east', 'west'];
const daemonZones = ['east', 'east', 'west', 'west'];
const workerZones = ['east', 'east', 'east', 'west', 'west', 'west'];
/** Capacity of a worker, in thousandths of a core. */
const workerCpuMillis = 32_000;
/** Second byte of the loopback addresses of the fleet with network index 0. */
const networkBase = 20;

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
  /** Loopback network of the daemons; differs between fleets that run at the same time. */
  readonly networkIndex: number;
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
    private readonly options: SoakFleetOptions,
  ) {}

  /** Starts the store, the workers and the daemons, with a configuration of one route. */
  static async create(options: SoakFleetOptions): Promise<SoakFleet> {
    const fleet = new SoakFleet(await StoreStandIn.create(shardCount), options);
    fleet.publishRoutes(1);
    for (const [index, zone] of workerZones.entries()) {
      await fleet.addWorker(`i-${index}`, zone);
    }
    for (const [index, zone] of daemonZones.entries()) {
      await fleet.addDaemon(index, zone);
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
  }

  private async addWorker(workerId: string, zone: string): Promise<void> {
    const worker = await WorkerStandIn.create({
      workerId,
      service: fixtureService,
      zone,
      cpu: workerCpuMillis,
      slowness: 1,
    });
    const proxy = await FaultyProxy.create(() => worker.address);
    this.workers.push({ worker, proxy });
    const register = (): void => {
      this.store.log(workerTopic).append(workerId, worker.composeEntry('ready', proxy.address));
    };
    worker.onRestart = register;
    register();
  }

  private async addDaemon(index: number, zone: string): Promise<void> {
    const { networkIndex, folder, program } = this.options;
    const store = await FaultyProxy.create(() => this.store.address);
    const child = DaemonChild.create({
      vmId: `vm-${index}`,
      ip: `127.${networkBase + networkIndex}.0.${index + 1}`,
      zone,
      zones,
      storeAddress: store.address,
      shardCount,
      folder,
      program,
      onCrash: (detail) => this.crashes.push(detail),
    });
    const callers = await FaultyProxy.create(() => child.callersAddress);
    this.daemons.push({ child, callers, store });
    await child.start();
  }
}
