/**
 * The system that a crowd of misbehaving clients is sent to: one built daemon as a child process with a small heap, and
 * stand-ins of the platform's store and of a worker on loopback addresses.
 */
import { mkdtempSync, readFileSync, readdirSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { DaemonChild, daemonProgram } from '../standins/platform/daemonChild.js';
import {
  composeRoutes,
  fixtureHost,
  fixturePrefix,
  fixtureService,
} from '../standins/platform/routes.js';
import { StoreStandIn } from '../standins/platform/storeStandIn.js';
import { operatorTopic, shardCount, workerTopic } from '../standins/platform/topics.js';
import { WorkerStandIn } from '../standins/platform/workerStandIn.js';
import { LoopbackNetwork } from './loopbackNetwork.js';

const zone = 'east';
const workerCpuMillis = 32_000;
const samplePeriodMs = 20;
const retryPauseMs = 250;
/** Attempts at an ordinary request; a refusal is repeated, since a loaded machine makes plans late. */
const maxAttempts = 120;
const attemptTimeoutMs = 5_000;
/** First id of the ordinary requests, which no client of a crowd uses. */
const firstOrdinaryId = 0xf000_0000;

/** What the process needed at most. */
export interface ProcessPeak {
  readonly residentBytes: number;
  readonly descriptors: number;
}

export interface CrowdTargetOptions {
  /** Heap limit of the daemon, in MB. */
  readonly heapMb: number;
  /** Table `clientLimits` of its settings file. */
  readonly clientLimits: Readonly<Record<string, number>>;
}

export class CrowdTarget {
  /** One sentence if the daemon has exited. */
  readonly crashes: string[] = [];
  private child!: DaemonChild;
  private residentBytes = 0;
  private descriptors = 0;
  private readonly sampling = new AbortController();
  private readonly folder = mkdtempSync(join(tmpdir(), 'toucandyke-crowd-'));

  private constructor(
    private readonly network: LoopbackNetwork,
    private readonly store: StoreStandIn,
    private readonly worker: WorkerStandIn,
  ) {}

  /** Starts the daemon; resolves when it has completed a first job. */
  static async create({ heapMb, clientLimits }: CrowdTargetOptions): Promise<CrowdTarget> {
    const network = await LoopbackNetwork.reserve();
    const store = await StoreStandIn.create(shardCount);
    const worker = await WorkerStandIn.create({
      ...{ workerId: 'i-0', service: fixtureService, zone, cpu: workerCpuMillis, slowness: 1 },
      ...{ kind: '', clockRate: 1, stopMs: 0 },
    });
    store.log(operatorTopic).append('config', composeRoutes(1, 1));
    store.log(workerTopic).append('i-0', worker.composeEntry('ready', worker.address));
    const target = new CrowdTarget(network, store, worker);
    target.child = DaemonChild.create({
      ...{ vmId: 'vm-0', ip: network.address(0, 1), zone, zones: [zone], shardCount },
      ...{ storeAddress: store.address, folder: target.folder },
      program: daemonProgram(resolve(import.meta.dirname, '..')),
      extraArguments: { node: [`--max-old-space-size=${heapMb}`] },
      onCrash: (detail) => target.crashes.push(detail),
    });
    const settings = JSON.parse(target.child.composeSettings()) as object;
    target.child.writeSettings(JSON.stringify({ ...settings, clientLimits }));
    await target.child.start();
    await target.serveOrdinary(0);
    void target.sample();
    return target;
  }

  /** @returns IP address and port for clients */
  get address(): string {
    return this.child.callersAddress;
  }

  /** @returns the most that the process has needed since its first job */
  get peak(): ProcessPeak {
    return { residentBytes: this.residentBytes, descriptors: this.descriptors };
  }

  /**
   * Sends ordinary requests, one at a time, until one is completed.
   *
   * @param number - distinguishes their ids from those of other calls
   * @returns whether one was completed
   */
  async serveOrdinary(number: number): Promise<boolean> {
    for (let attempt = 0; attempt < maxAttempts && this.crashes.length === 0; attempt += 1) {
      const id = firstOrdinaryId + number * maxAttempts + attempt;
      if (await this.isCompleted(id.toString(16).padStart(16, '0'))) {
        return true;
      }
      await sleep(retryPauseMs);
    }
    return false;
  }

  async close(): Promise<void> {
    this.sampling.abort();
    await this.child.kill();
    await Promise.all([this.worker.close(), this.store.close()]);
    await this.network.close();
    rmSync(this.folder, { recursive: true });
  }

  private async isCompleted(jobId: string): Promise<boolean> {
    const step = { count: 1, cpu: 1_000, estimatedMs: 20 };
    try {
      const taskSpec = JSON.stringify({ runMs: 20, cpu: 1_000 });
      const response = await request(`http://${this.address}${fixturePrefix}${jobId}`, {
        method: 'POST',
        headers: { host: fixtureHost, 'content-type': 'application/json' },
        body: JSON.stringify({ taskSpec, steps: [step], bestEffort: true }),
        signal: AbortSignal.timeout(attemptTimeoutMs),
      });
      const text = await response.body.text();
      return response.statusCode === 200 && text.includes('completed');
    } catch {
      return false;
    }
  }

  private async sample(): Promise<void> {
    while (!this.sampling.signal.aborted) {
      const { pid } = this.child;
      if (pid !== undefined) {
        this.samplePeak(pid);
      }
      await sleep(samplePeriodMs);
    }
  }

  private samplePeak(pid: number): void {
    try {
      const status = readFileSync(`/proc/${pid}/status`, 'utf8');
      const residentBytes = Number(/VmRSS:\s*(\d+) kB/.exec(status)?.[1] ?? 0) * 1_024;
      this.residentBytes = Math.max(this.residentBytes, residentBytes);
      this.descriptors = Math.max(this.descriptors, readdirSync(`/proc/${pid}/fd`).length);
    } catch {
      // The process has just exited, which `crashes` tells.
    }
  }
}
