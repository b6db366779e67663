/**
 * The fleet of the platform cost bench: stand-ins of the platform in this process, and built daemons as
 * child processes in three failure domains.
 */
import { DaemonChild } from '../../standins/platform/daemonChild.js';
import type { ExtraArguments } from '../../standins/platform/daemonChild.js';
import { composeRoutes, fixtureService } from '../../standins/platform/routes.js';
import { StoreStandIn } from '../../standins/platform/storeStandIn.js';
import { operatorTopic, shardCount, workerTopic } from '../../standins/platform/topics.js';
import { WorkerStandIn } from '../../standins/platform/workerStandIn.js';

const failureDomainIds = ['east', 'middle', 'west'];
/** Capacity of a worker, in thousandths of a core. */
const workerCpuMillis = 32_000;

export interface CostFleetOptions {
  /** Second byte of the loopback addresses of the daemons. */
  readonly networkIndex: number;
  readonly daemons: number;
  readonly workers: number;
  readonly routes: number;
  /** Folder for the settings and logs of the daemons. */
  readonly folder: string;
  /** Path of the built program. */
  readonly program: string;
  /** Further arguments of the first daemon, such as those of a profiler. */
  readonly firstDaemonArguments: ExtraArguments;
}

export class CostFleet {
  readonly daemons: DaemonChild[] = [];
  private readonly workers: WorkerStandIn[] = [];

  private constructor(private readonly store: StoreStandIn) {}

  /** Starts the store and the workers, then all daemons at once. */
  static async create(options: CostFleetOptions): Promise<CostFleet> {
    const fleet = new CostFleet(await StoreStandIn.create(shardCount));
    fleet.store.log(operatorTopic).append('config', composeRoutes(1, options.routes));
    for (let index = 0; index < options.workers; index += 1) {
      await fleet.addWorker(index);
    }
    for (let index = 0; index < options.daemons; index += 1) {
      fleet.daemons.push(fleet.createDaemon(index, options));
    }
    await Promise.all(fleet.daemons.map((daemon) => daemon.start()));
    return fleet;
  }

  /** @returns number of runs that the workers have started */
  get startCount(): number {
    return this.workers.reduce((sum, { starts }) => sum + starts.length, 0);
  }

  /** @returns number of report requests that the workers have received */
  get reportRequestCount(): number {
    return this.workers.reduce((sum, { holdCount }) => sum + holdCount, 0);
  }

  /** Stops the daemons as planned, so that a profiler writes its file. */
  async close(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.stop()));
    await Promise.all(this.workers.map((worker) => worker.close()));
    await this.store.close();
  }

  private async addWorker(index: number): Promise<void> {
    const worker = await WorkerStandIn.create({
      workerId: `i-${index}`,
      service: fixtureService,
      zone: domainAt(index),
      cpu: workerCpuMillis,
      slowness: 1,
    });
    this.workers.push(worker);
    this.store.log(workerTopic).append(worker.workerId, worker.composeEntry());
  }

  private createDaemon(index: number, options: CostFleetOptions): DaemonChild {
    return DaemonChild.create({
      vmId: `vm-${index}`,
      ip: `127.${options.networkIndex}.${Math.floor(index / 200)}.${(index % 200) + 1}`,
      zone: domainAt(index),
      zones: failureDomainIds,
      storeAddress: this.store.address,
      shardCount,
      folder: options.folder,
      program: options.program,
      extraArguments: index === 0 ? options.firstDaemonArguments : {},
      onCrash: (detail) => process.stderr.write(`${detail}\n`),
    });
  }
}

const domainAt = (index: number): string =>
  failureDomainIds[index % failureDomainIds.length] ?? 'east';
