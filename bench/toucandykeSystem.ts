/**
 * Daemons of toucandyke as the system under test.
 */
import type { Configuration } from '../src/types/configuration.js';
import type { Clock } from '../src/ports/clock.js';
import { Deployment } from '../standins/deployment.js';
import type { DeployedDaemon } from '../standins/deployment.js';
import type { Fleet } from '../standins/fleet.js';
import type { PeerMessageCount, SystemUnderTest } from './system.js';

const readyPollMs = 10;
const readyTimeoutMs = 5_000;

export interface ToucandykeSystemOptions {
  readonly clock: Clock;
  readonly configuration: Configuration;
  readonly daemonsPerFailureDomain: number;
}

export class ToucandykeSystem implements SystemUnderTest {
  /** The daemons by position, including those that do not run. */
  private readonly daemonsByPosition: DeployedDaemon[];

  private constructor(
    private readonly clock: Clock,
    private readonly deployment: Deployment,
  ) {
    this.daemonsByPosition = [...deployment.daemons];
  }

  static async create(options: ToucandykeSystemOptions): Promise<ToucandykeSystem> {
    const deployment = await Deployment.create(options);
    await deployment.waitForQuotas();
    return new ToucandykeSystem(options.clock, deployment);
  }

  get fleet(): Fleet {
    return this.deployment.fleet;
  }

  get daemonCount(): number {
    return this.daemonsByPosition.length;
  }

  addresses(): readonly string[] {
    return this.deployment.daemons.map(({ process }) => process.callers.address);
  }

  kill(position: number): Promise<void> {
    return this.deployment.kill(this.daemonAt(position));
  }

  stop(position: number): Promise<void> {
    return this.deployment.stop(this.daemonAt(position));
  }

  async restart(position: number): Promise<void> {
    const { vmId, failureDomainId } = this.daemonAt(position).vm;
    const started = await this.deployment.startDaemon(vmId, failureDomainId);
    this.daemonsByPosition[position] = started;
    await this.deployment.updateVmList();
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

  private daemonAt(position: number): DeployedDaemon {
    const daemon = this.daemonsByPosition[position];
    if (daemon === undefined) {
      throw new Error(`There is no daemon at position ${position}.`);
    }
    return daemon;
  }
}
