/**
 * A small deployment: daemons as separate processes, and stand-ins of the platform's store and of the workers in this one.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { LoopbackNetwork } from '../../soak/loopbackNetwork.js';
import { composeRoutes, fixtureService } from '../../standins/platform/routes.js';
import type { StartRecord } from '../../standins/platform/standInRun.js';
import { StoreStandIn } from '../../standins/platform/storeStandIn.js';
import { operatorTopic, workerTopic } from '../../standins/platform/topics.js';
import { WorkerStandIn } from '../../standins/platform/workerStandIn.js';
import { DaemonProcess } from './daemonProcess.js';
import { OrderProxy } from './orderProxy.js';
import type { HoldBack, ProxiedAnswer, ProxiedOrder } from './orderProxy.js';
import type { Recorder } from './recorder.js';
import { partCount } from './settings.js';

/** Time until the daemons have shared out the workers and heard of each other, in milliseconds. */
const settlingMs = 6_000;
/** Silence after which the entry of a worker goes: three ping intervals, in milliseconds. */
const entryExpiryMs = 4_500;

export interface DeploymentOptions {
  readonly root: string;
  readonly recorder: Recorder;
  /** Zone of each daemon. */
  readonly daemons: readonly string[];
  /** Zone of each worker. */
  readonly workers: readonly string[];
  /** Thousandths of a core of each worker. */
  readonly cpu: number;
  /** Decides which orders to a worker are held back, and learns of their delivery. */
  readonly orders?: (workerId: string) => {
    readonly holdBack: HoldBack;
    readonly onDelivered: (order: ProxiedOrder, answer: ProxiedAnswer | undefined) => void;
  };
}

export class Deployment {
  readonly daemons: DaemonProcess[] = [];
  readonly workers: WorkerStandIn[] = [];
  private readonly proxies: OrderProxy[] = [];
  /** Where each worker gets its orders, by its id. */
  private readonly addresses = new Map<string, string>();

  private constructor(
    readonly store: StoreStandIn,
    private readonly network: LoopbackNetwork,
    private readonly folder: string,
  ) {}

  /** Starts the store, the workers and the daemons, and waits until they serve. */
  static async create(options: DeploymentOptions): Promise<Deployment> {
    const { root, recorder } = options;
    const folder = mkdtempSync(join(tmpdir(), 'toucandyke-review-'));
    const store = await StoreStandIn.create(partCount);
    const deployment = new Deployment(store, await LoopbackNetwork.reserve(), folder);
    store.log(operatorTopic).append('config', composeRoutes(1, 1));
    for (const [index, zone] of options.workers.entries()) {
      await deployment.addWorker(`w-${index}`, zone, options);
    }
    for (const [index, zone] of options.daemons.entries()) {
      const ip = deployment.network.address(0, index + 1);
      const place = { name: `front-${zone}-${index}`, ip, zone, storeAddress: store.address };
      deployment.daemons.push(DaemonProcess.create({ ...place, root, folder, recorder }));
    }
    deployment.daemons.forEach((daemon) => daemon.start());
    await Promise.all(deployment.daemons.map((daemon) => daemon.waitUntilReady()));
    await sleep(settlingMs);
    return deployment;
  }

  /** @returns every run that a worker began, in the order of its start */
  starts(): StartRecord[] {
    return this.workers
      .flatMap(({ starts }) => starts)
      .sort((a, b) => a.startedAtMs - b.startedAtMs);
  }

  async close(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.kill()));
    this.proxies.forEach((proxy) => proxy.close());
    await Promise.all(this.workers.map((worker) => worker.close()));
    await this.store.close();
    await this.network.close();
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(this.folder, { recursive: true, force: true });
    } else {
      process.stdout.write(`${this.folder}\n`);
    }
  }

  /**
   * Crashes a worker for a while. Its entry goes after three ping intervals of silence, and it registers again when it is
   * back.
   */
  async crash(worker: WorkerStandIn, downMs: number): Promise<void> {
    const { workerId } = worker;
    const back = worker.crash(downMs);
    if (downMs > entryExpiryMs) {
      await sleep(entryExpiryMs);
      this.store.log(workerTopic).append(workerId, Buffer.alloc(0));
    }
    await back;
  }

  /**
   * Stops a worker as planned, and starts it again under its id: it reports that it is draining, serves on for a while, and
   * exits, whereupon its entry goes.
   */
  async drainAndRestart(worker: WorkerStandIn, servesForMs: number, downMs: number): Promise<void> {
    const { workerId } = worker;
    const log = this.store.log(workerTopic);
    log.append(workerId, worker.composeEntry('draining', this.addresses.get(workerId)));
    await sleep(servesForMs);
    const back = worker.crash(downMs);
    log.append(workerId, Buffer.alloc(0));
    await back;
  }

  private async addWorker(
    workerId: string,
    zone: string,
    { cpu, orders }: DeploymentOptions,
  ): Promise<void> {
    const worker = await WorkerStandIn.create({
      ...{ workerId, service: fixtureService, zone, cpu, slowness: 1 },
    });
    this.workers.push(worker);
    let { address } = worker;
    if (orders !== undefined) {
      const { holdBack, onDelivered } = orders(workerId);
      const proxy = await OrderProxy.create(() => worker.address, holdBack, onDelivered);
      this.proxies.push(proxy);
      ({ address } = proxy);
    }
    this.addresses.set(workerId, address);
    const register = (): void =>
      this.store.log(workerTopic).append(workerId, worker.composeEntry('ready', address));
    worker.onRestart = register;
    register();
  }
}
