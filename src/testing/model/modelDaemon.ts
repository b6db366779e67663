/**
 * One daemon of the model: a real FleetDaemon on in-memory ports, in a process that may be stopped as
 * planned, killed, frozen and started again.
 */
import { noMetrics } from '../../adapters/system/noMetrics.js';
import { FleetDaemon } from '../../fleet/fleetDaemon.js';
import { stopAsPlanned } from '../../fleet/plannedStop.js';
import type { Logger } from '../../ports/logger.js';
import type { Clock } from '../../ports/clock.js';
import type { SchedulingPolicy } from '../../types/schedulingPolicy.js';
import type { FakeClock } from '../fakeClock.js';
import { SeededRandom } from '../seededRandom.js';
import { ModelClientLink } from './modelClientLink.js';
import { ModelConnector } from './modelConnector.js';
import type { ModelServer } from './modelConnector.js';
import type { ModelNetwork } from './modelNetwork.js';
import { ModelProcess } from './modelProcess.js';
import type { ModelStore } from './modelStore.js';
import type { ModelWorker } from './modelWorker.js';
import { maxLeaseMs } from './modelWorkerLife.js';
import { ModelWorkers } from './modelWorkers.js';

/** Time from SIGTERM to SIGKILL, in milliseconds. */
export const stopGraceMs = 6_000;
const farRackFactor = 1.5;
/** Time in which a process goes on serving its peers after its daemon has closed, in milliseconds. */
const interfacesCloseMs = 50;

export interface ModelDaemonOptions {
  readonly time: FakeClock;
  readonly network: ModelNetwork;
  readonly store: ModelStore;
  readonly workers: ReadonlyMap<string, ModelWorker>;
  readonly address: string;
  readonly failureDomainId: string;
  readonly failureDomainIds: readonly string[];
  readonly seed: number;
  readonly startsStateLifetime: boolean;
  readonly schedulingPolicy?: SchedulingPolicy;
  readonly createLogger: (name: string, clock: Clock) => Logger;
  readonly findServer: (address: string) => ModelServer | undefined;
}

/** A process of the daemon that is alive. */
export interface RunningDaemon {
  readonly process: ModelProcess;
  readonly daemon: FleetDaemon;
  /** Whether it accepts new connections of clients. */
  acceptsClients: boolean;
}

export class ModelDaemon {
  /** The way from the clients. */
  readonly clientLink: ModelClientLink;
  private running: RunningDaemon | undefined;
  private starts = 0;
  /** Lengths of the turns of its event loop, in milliseconds; undefined unless its VM is slow. */
  private turnsMs: readonly number[] | undefined;

  private constructor(private readonly options: ModelDaemonOptions) {
    this.clientLink = ModelClientLink.create(options.time);
    this.start();
  }

  static create(options: ModelDaemonOptions): ModelDaemon {
    return new ModelDaemon(options);
  }

  get address(): string {
    return this.options.address;
  }

  /** The process that runs now; nothing while there is none. */
  get current(): RunningDaemon | undefined {
    return this.running?.process.isAlive === true ? this.running : undefined;
  }

  /** What serves the peers' interface now. */
  get server(): ModelServer | undefined {
    const { current } = this;
    return current === undefined
      ? undefined
      : { process: current.process, service: current.daemon.peerService };
  }

  /** Starts a process, unless one runs. */
  start(): void {
    if (this.current !== undefined) {
      return;
    }
    this.starts += 1;
    const { time, network, store, workers, address, seed, findServer } = this.options;
    const { failureDomainId, failureDomainIds, startsStateLifetime, createLogger } = this.options;
    const process = ModelProcess.create(address, time);
    const { clock } = process;
    const random = SeededRandom.create(seed * 1_000 + this.starts);
    const incarnation = `${address}#${this.starts}`;
    const member = { incarnation, address, failureDomainId, weight: 1 };
    const daemon = FleetDaemon.create(
      {
        ...{ member, failureDomainIds, longestLeaseMs: maxLeaseMs, farRackFactor, stopGraceMs },
        schedulingPolicy: this.options.schedulingPolicy,
      },
      {
        clock,
        random,
        logger: createLogger(incarnation, clock),
        metrics: noMetrics,
        store: store.connect(process),
        workers: ModelWorkers.create({ time, network, process, workers, startsStateLifetime }),
        connector: ModelConnector.create({ network, process, findServer }),
      },
    );
    this.running = { process, daemon, acceptsClients: true };
    if (this.turnsMs !== undefined) {
      void process.slowDown(this.turnsMs);
    }
  }

  freeze(): void {
    this.current?.process.freeze();
  }

  suspend(): void {
    this.current?.process.suspend();
  }

  async thaw(): Promise<void> {
    await this.current?.process.thaw();
  }

  /** Makes the turns of its event loop long, also in the next process, until `speedUp`. */
  slowDown(turnsMs: readonly number[]): void {
    this.turnsMs = turnsMs;
    void this.current?.process.slowDown(turnsMs);
  }

  async speedUp(): Promise<void> {
    this.turnsMs = undefined;
    await this.current?.process.speedUp();
  }

  kill(): void {
    this.running?.process.kill();
  }

  /** Stops as planned, and is killed after the grace period at the latest. */
  async stop(): Promise<void> {
    const { current } = this;
    if (current === undefined) {
      return;
    }
    const { process } = current;
    process.receive(() => void stopProcess(current).then(() => process.kill()));
    await Promise.race([this.options.time.sleep(stopGraceMs), process.end]);
    process.kill();
  }
}

/** Shuts a daemon down as its process does. */
const stopProcess = async (running: RunningDaemon): Promise<void> => {
  const { daemon, process } = running;
  await stopAsPlanned({
    ...{ clock: process.clock, stopGraceMs, daemon },
    front: {
      drain: () => undefined,
      close: () => {
        running.acceptsClients = false;
        return Promise.resolve();
      },
      closeIdleConnections: () => undefined,
      kill: () => Promise.resolve(),
    },
    closeInterfaces: () => process.clock.sleep(interfacesCloseMs),
  });
};
