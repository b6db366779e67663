/**
 * A small platform of stand-ins, with daemons as processes of their own behind proxies.
 */
import { composeRoutes, fixtureService } from '../standins/platform/routes.js';
import type { StartRecord } from '../standins/platform/standInRun.js';
import { StoreStandIn } from '../standins/platform/storeStandIn.js';
import { operatorTopic, shardCount, workerTopic } from '../standins/platform/topics.js';
import { WorkerStandIn } from '../standins/platform/workerStandIn.js';
import { DaemonChild } from './daemonChild.js';
import { FaultyProxy } from './faultyProxy.js';
import { Troubles } from './troubles.js';

const zones = ['east', 'west'];
const daemonZones = ['east', 'east', 'west', 'west'];
const workerZones = ['east', 'east', 'east', 'west', 'west', 'west'];
const workerCpu = 32_000;
/** Loopback network of the first of the fleets that run at the same time. */
const firstNetwork = 20;

export interface SoakDaemon {
  readonly child: DaemonChild;
  readonly callers: FaultyProxy;
  readonly store: FaultyProxy;
}

export interface SoakWorker {
  readonly worker: WorkerStandIn;
  readonly link: FaultyProxy;
}

export interface SoakFleetOptions {
  /** Tells fleets apart that run at the same time. */
  readonly slot: number;
  readonly folder: string;
  readonly program: string;
}

export class SoakFleet {
  readonly daemons: SoakDaemon[] = [];
  readonly workers: SoakWorker[] = [];
  readonly troubles = Troubles.create();
  /** Processes that ended without being told to. */
  readonly crashes: string[] = [];
  private routingVersion = 0;

  private constructor(
    readonly store: StoreStandIn,
    private readonly options: SoakFleetOptions,
  ) {}

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

  /** Puts a routing configuration with a number of routes into the store. */
  publishRoutes(count: number): void {
    this.routingVersion += 1;
    const document = composeRoutes(this.routingVersion, count);
    this.store.log(operatorTopic).append('config', document);
  }

  /** Makes the store forget its history; the newest entries are kept. */
  compactStore(): void {
    this.store.log(workerTopic).compact();
    this.store.log(operatorTopic).compact();
  }

  /** @returns every start that a worker carried out */
  starts(): StartRecord[] {
    return this.workers.flatMap(({ worker }) => worker.starts);
  }

  async close(): Promise<void> {
    await Promise.all(this.daemons.map(({ child }) => child.kill()));
    const links = this.daemons.flatMap(({ callers, store }) => [callers, store]);
    await Promise.all(
      [...links, ...this.workers.map(({ link }) => link)].map((one) => one.close()),
    );
    await Promise.all(this.workers.map(({ worker }) => worker.close()));
    await this.store.close();
  }

  private async addWorker(workerId: string, zone: string): Promise<void> {
    const worker = await WorkerStandIn.create({
      workerId,
      service: fixtureService,
      zone,
      cpu: workerCpu,
      slowness: 1,
    });
    const link = await FaultyProxy.create(() => worker.address);
    this.workers.push({ worker, link });
    this.store.log(workerTopic).append(workerId, worker.entry('ready', link.address));
  }

  private async addDaemon(index: number, zone: string): Promise<void> {
    const { slot, folder, program } = this.options;
    const store = await FaultyProxy.create(() => this.store.address);
    const child = DaemonChild.create({
      vmId: `vm-${index}`,
      ip: `127.${firstNetwork + slot}.0.${index + 1}`,
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
