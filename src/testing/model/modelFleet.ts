/**
 * A whole fleet in one process, in virtual time: real daemons, and models of workers, store, network and
 * clients.
 */
import type { Clock } from '../../ports/clock.js';
import type { Logger } from '../../ports/logger.js';
import type { Routing } from '../../types/routing.js';
import type { WorkerRecord } from '../../types/workers.js';
import { FakeClock } from '../fakeClock.js';
import { ModelClients } from './modelClients.js';
import type { ModelServer } from './modelConnector.js';
import { ModelDaemon } from './modelDaemon.js';
import type { Scenario, WorkerChoice } from './modelEvents.js';
import { ModelNetwork } from './modelNetwork.js';
import type { ModelRun } from './modelRun.js';
import { ModelStore } from './modelStore.js';
import { ModelWorker } from './modelWorker.js';

const serviceId = 'fit';
const host = 'fit.example';
const pathPrefix = '/fit/';
/** Failed runs of a task after which its job has failed. */
export const maxFailedRuns = 3;
const workerCpuMillis = 32_000;
const slowestClockRate = 0.98;
const stopMs = { short: 30, long: 50 } as const;
/** Neither the daemons nor the models wait for turns of the event loop. */
const flushRounds = 1;
/** Time until the daemons serve their workers, in milliseconds. */
const warmUpMs = 4_000;

const createRouting = (guardsCapacity: boolean): Routing => ({
  version: 1,
  routes: [
    {
      ...{ routeId: 'fit', host, pathPrefix, serviceId, priority: 1, maxFailedRuns },
      ...{ timeoutMs: 30_000, objectiveStretch: 3, objectiveSlackMs: 1_500 },
    },
  ],
  services: [{ serviceId, guardsCapacity }],
  maxBodyBytes: 262_144,
});

/** Creates the logger of one process. */
export type CreateLogger = (name: string, clock: Clock) => Logger;

/** Something that is to happen at a time. */
interface AgendaItem {
  readonly atMs: number;
  readonly run: () => void | Promise<void>;
}

export class ModelFleet {
  readonly time = FakeClock.create(flushRounds);
  readonly network = ModelNetwork.create(this.time);
  readonly store: ModelStore;
  /** Every run that a worker started. */
  readonly runs: ModelRun[] = [];
  readonly workers: readonly ModelWorker[];
  readonly daemons: readonly ModelDaemon[];
  readonly clients: ModelClients;
  private readonly agenda: AgendaItem[] = [];
  private beginMs = 0;

  private constructor(scenario: Scenario, createLogger: CreateLogger) {
    const { guardsCapacity = true } = scenario;
    this.store = ModelStore.create(this.time, this.network, createRouting(guardsCapacity));
    this.workers = scenario.workers.map((one, index) =>
      this.createWorker(one, index, guardsCapacity),
    );
    const workers = new Map(this.workers.map((worker) => [worker.workerId, worker]));
    const { time, network, store } = this;
    const { startsStateLifetime } = scenario;
    const failureDomainIds = [...new Set(scenario.daemons)];
    const findServer = (address: string): ModelServer | undefined =>
      this.daemons.find((daemon) => daemon.address === address)?.server;
    this.daemons = scenario.daemons.map((failureDomainId, index) =>
      ModelDaemon.create({
        ...{ time, network, store, workers, failureDomainId, failureDomainIds, createLogger },
        ...{ startsStateLifetime, findServer },
        address: `10.0.0.${index + 1}:7000`,
        seed: scenario.seed * 16 + index,
      }),
    );
    this.clients = ModelClients.create({
      ...{ time, network, daemons: this.daemons },
      route: { host, pathPrefix },
    });
  }

  /** Builds a fleet, and waits until it serves its workers. */
  static async create(scenario: Scenario, createLogger: CreateLogger): Promise<ModelFleet> {
    const fleet = new ModelFleet(scenario, createLogger);
    await fleet.time.advance(warmUpMs);
    fleet.beginMs = fleet.time.nowMs();
    return fleet;
  }

  /** Time since the begin of the scenario, in milliseconds. */
  get elapsedMs(): number {
    return this.time.nowMs() - this.beginMs;
  }

  /** Whether nothing is scheduled and no client waits or is about to send a job again. */
  get isSettled(): boolean {
    return this.agenda.length === 0 && this.clients.waitingCount === 0;
  }

  daemon(index: number): ModelDaemon | undefined {
    return this.daemons[index % this.daemons.length];
  }

  /** @returns the worker that is meant; nothing if no worker runs the job */
  findWorker(choice: WorkerChoice): ModelWorker | undefined {
    switch (choice.kind) {
      case 'numbered':
        return this.workers[choice.index % this.workers.length];
      case 'running':
        return this.workers.find(({ life }) => life?.runsJob(this.jobIdAt(choice.job)) === true);
    }
  }

  /** @returns the id of the job that was submitted as the given one, from 0 */
  jobIdAt(index: number): string {
    return (index + 1).toString(16).padStart(16, '0');
  }

  /** Schedules an action; no time passes during an action. */
  at(elapsedMs: number, run: () => void | Promise<void>): void {
    this.agenda.push({ atMs: elapsedMs, run });
  }

  /** Runs all scheduled actions up to a time, including those that they schedule. */
  async runUntil(elapsedMs: number): Promise<void> {
    for (;;) {
      this.agenda.sort((a, b) => a.atMs - b.atMs);
      const next = this.agenda[0];
      if (next === undefined || next.atMs > elapsedMs) {
        break;
      }
      this.agenda.shift();
      await this.time.advance(Math.max(next.atMs - this.elapsedMs, 0));
      await next.run();
    }
    await this.time.advance(Math.max(elapsedMs - this.elapsedMs, 0));
  }

  /** Kills all processes, so that nothing of them runs any more. */
  close(): void {
    this.daemons.forEach((daemon) => daemon.kill());
  }

  private createWorker(
    { domain, label }: Scenario['workers'][number],
    index: number,
    guardsCapacity: boolean,
  ): ModelWorker {
    const record: WorkerRecord = {
      workerId: `i-${index}`,
      address: `10.0.1.${index + 1}:8080`,
      serviceId,
      failureDomainId: domain,
      state: 'ready',
      capacity: { cpuMillis: workerCpuMillis, memoryMb: 65_536, accelerators: 0 },
      labels: [label],
    };
    return ModelWorker.create({
      time: this.time,
      record,
      clockRate: index % 2 === 0 ? 1 : slowestClockRate,
      guardsCapacity,
      stopMs: index % 3 === 0 ? stopMs.long : stopMs.short,
      onRun: (run) => void this.runs.push(run),
      publish: (workerId, entry) => this.store.publish(workerId, entry),
    });
  }
}
