/**
 * Our own daemons as the system under load.
 */
import type { Configuration } from '../src/types/configuration.js';
import type { Clock } from '../src/ports/clock.js';
import { Deployment } from '../standins/deployment.js';
import type { DeployedDaemon } from '../standins/deployment.js';
import type { Fleet } from '../standins/fleet.js';
import type { PeerMessageCount, System } from './system.js';

const readyPollMs = 10;
const readyTimeoutMs = 5_000;

export interface SystemOptions {
  readonly clock: Clock;
  readonly configuration: Configuration;
  readonly daemonsPerFailureDomain: number;
}

export class ToucandykeSystem implements System {
  /** The daemons by position; one that is down keeps its place. */
  private readonly places: DeployedDaemon[];

  private constructor(
    private readonly clock: Clock,
    private readonly deployment: Deployment,
  ) {
    this.places = [...deployment.daemons];
  }

  static async create(options: SystemOptions): Promise<ToucandykeSystem> {
    const deployment = await Deployment.create(options);
    await deployment.settle();
    return new ToucandykeSystem(options.clock, deployment);
  }

  get fleet(): Fleet {
    return this.deployment.fleet;
  }

  get daemonCount(): number {
    return this.places.length;
  }

  addresses(): readonly string[] {
    return this.deployment.daemons.map(({ process }) => process.callers.address);
  }

  kill(position: number): Promise<void> {
    return this.deployment.kill(this.place(position));
  }

  stop(position: number): Promise<void> {
    return this.deployment.stop(this.place(position));
  }

  async restart(position: number): Promise<void> {
    const { vmId, failureDomainId } = this.place(position).vm;
    const started = await this.deployment.startDaemon(vmId, failureDomainId);
    this.places[position] = started;
    await this.deployment.listVms();
    const deadlineAtMs = this.clock.nowMs() + readyTimeoutMs;
    while (!started.process.daemon.isReady() && this.clock.nowMs() < deadlineAtMs) {
      await this.clock.sleep(readyPollMs);
    }
  }

  cut(failureDomainId: string): void {
    this.deployment.cuts.cut(failureDomainId);
  }

  heal(): void {
    this.deployment.cuts.heal();
  }

  peerMessages(): readonly PeerMessageCount[] {
    return [...this.deployment.peerMessages].map(([method, count]) => ({ method, count }));
  }

  close(): Promise<void> {
    return this.deployment.close();
  }

  private place(position: number): DeployedDaemon {
    const daemon = this.places[position];
    if (daemon === undefined) {
      throw new Error(`There is no daemon at position ${position}.`);
    }
    return daemon;
  }
}
