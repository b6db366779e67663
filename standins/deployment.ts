/**
 * A whole deployment in this process: stand-ins and several daemons in each failure domain.
 */
import { LogHttpClient } from '../src/adapters/logHttp/logHttpClient.js';
import { PeerRpcConnector } from '../src/adapters/peerRpc/peerRpcClient.js';
import { VmListHttpClient } from '../src/adapters/vmListHttp/vmListHttpClient.js';
import type { Configuration } from '../src/types/configuration.js';
import type { Clock } from '../src/ports/clock.js';
import type { Ports } from '../src/ports/ports.js';
import type { VmRecord } from '../src/ports/vmList.js';
import { DaemonProcess } from '../src/programs/toucandyked/daemonProcess.js';
import { Fleet } from './fleet.js';
import { CuttableLogService, CuttableVmList, LinkCuts } from './linkCuts.js';
import { publishFirst } from './publishFirst.js';

const anyPort = '127.0.0.1:0';
const peerToken = 'peer-token-of-the-stand-ins';
export const operatorToken = 'operator-token-of-the-stand-ins';
const startTimeoutMs = 10_000;
const pollMs = 20;
const drainGraceMs = 500;
const quotaSettleMs = 5_000;

export interface DeploymentOptions {
  readonly clock: Clock;
  readonly configuration: Configuration;
  readonly daemonsPerFailureDomain: number;
}

/** One daemon of the deployment. */
export interface DeployedDaemon {
  readonly vm: VmRecord;
  readonly process: DaemonProcess;
}

export class Deployment {
  readonly daemons: DeployedDaemon[] = [];
  readonly cuts = LinkCuts.create();
  /** Messages to peers so far, by method. */
  readonly peerMessages = new Map<string, number>();
  private readonly domainsByPeerAddress = new Map<string, string>();

  private constructor(
    readonly fleet: Fleet,
    private readonly clock: Clock,
  ) {}

  /**
   * Starts everything and waits until every daemon is ready.
   *
   * @param options - configuration and sizes
   */
  static async create(options: DeploymentOptions): Promise<Deployment> {
    const { clock, configuration, daemonsPerFailureDomain } = options;
    const fleet = await Fleet.create({ clock, configuration, useFreePorts: true });
    const deployment = new Deployment(fleet, clock);
    const logAddress = fleet.log.address;
    await publishFirst({ logAddress, clock, configuration: fleet.configuration });
    for (const { failureDomainId } of configuration.inventory.failureDomains) {
      for (let i = 1; i <= daemonsPerFailureDomain; i += 1) {
        await deployment.startDaemon(`${failureDomainId}-vm${i}`, failureDomainId);
      }
    }
    await deployment.listVms();
    await deployment.waitUntilReady();
    return deployment;
  }

  /** Waits until daemons that started together have shared out the quotas. */
  async settle(): Promise<void> {
    await this.clock.sleep(quotaSettleMs);
  }

  /** Cuts a daemon off as if its process was killed; the VM list learns of it later. */
  async kill(daemon: DeployedDaemon): Promise<void> {
    this.daemons.splice(this.daemons.indexOf(daemon), 1);
    await daemon.process.kill();
    void this.listVms();
  }

  /** Stops a daemon as planned. */
  async stop(daemon: DeployedDaemon): Promise<void> {
    this.daemons.splice(this.daemons.indexOf(daemon), 1);
    await daemon.process.close();
    void this.listVms();
  }

  async startDaemon(vmId: string, failureDomainId: string): Promise<DeployedDaemon> {
    const process = await DaemonProcess.create(
      {
        vmId,
        failureDomainId,
        weight: 1,
        listen: { callers: anyPort, operators: anyPort, peers: anyPort },
        platform: { logService: this.fleet.log.address, vmList: this.fleet.vmList.address },
        tokens: { peers: peerToken, operators: operatorToken },
        drainGraceMs,
        logLevel: 'off',
      },
      this.createCuttablePorts(failureDomainId),
    );
    const peerAddress = process.peers.address;
    this.domainsByPeerAddress.set(peerAddress, failureDomainId);
    const vm = { vmId, failureDomainId, peerAddress, state: 'live' as const, weight: 1 };
    const daemon = { vm, process };
    this.daemons.push(daemon);
    return daemon;
  }

  listVms(): Promise<void> {
    return this.fleet.vmList.replace(this.daemons.map(({ vm }) => vm));
  }

  async close(): Promise<void> {
    await Promise.all(this.daemons.map(({ process }) => process.close()));
    await this.fleet.close();
  }

  /** Links that `cuts` can cut between this failure domain, the others and the platform. */
  private createCuttablePorts(failureDomainId: string): Partial<Ports> {
    const { cuts, fleet } = this;
    return {
      logService: CuttableLogService.create(
        LogHttpClient.create(fleet.log.address),
        () => !cuts.isCutOff(failureDomainId),
      ),
      vmList: CuttableVmList.create(
        VmListHttpClient.create(fleet.vmList.address),
        () => !cuts.isCutOff(failureDomainId),
      ),
      peers: PeerRpcConnector.create(peerToken, (address, method) => {
        this.peerMessages.set(method, (this.peerMessages.get(method) ?? 0) + 1);
        const theirs = this.domainsByPeerAddress.get(address) ?? failureDomainId;
        return cuts.isOpen(failureDomainId, theirs);
      }),
    };
  }

  private async waitUntilReady(): Promise<void> {
    const peersPerDaemon = this.daemons.length - 1;
    const isUp = ({ process: { daemon } }: DeployedDaemon): boolean =>
      daemon.isReady() && daemon.describe().peers.length === peersPerDaemon;
    const deadlineAtMs = this.clock.nowMs() + startTimeoutMs;
    while (!this.daemons.every(isUp)) {
      if (this.clock.nowMs() > deadlineAtMs) {
        throw new Error('The daemons did not find one another in time.');
      }
      await this.clock.sleep(pollMs);
    }
  }
}
