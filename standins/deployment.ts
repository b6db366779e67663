/**
 * A whole deployment in this process: stand-ins of the platform and the endpoints, and several daemons
 * in each failure domain.
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
import { publishInitialConfiguration } from './publishInitialConfiguration.js';

const anyPort = '127.0.0.1:0';
const peerToken = 'peer-token-of-the-stand-ins';
export const operatorToken = 'operator-token-of-the-stand-ins';
/** Time in which all daemons have to become ready. */
const startTimeoutMs = 10_000;
const pollMs = 20;
const drainGraceMs = 500;
/** Time in which daemons that start together have divided the quotas among themselves. */
const quotaSharingMs = 5_000;

export interface DeploymentOptions {
  readonly clock: Clock;
  readonly configuration: Configuration;
  readonly daemonsPerFailureDomain: number;
}

/** One daemon of the deployment. */
export interface DeployedDaemon {
  /** Row of its VM in the VM list. */
  readonly vm: VmRecord;
  readonly process: DaemonProcess;
}

export class Deployment {
  /** The running daemons. */
  readonly daemons: DeployedDaemon[] = [];
  /** Cuts the links of daemons to peers and platform, by failure domain; links to endpoints stay. */
  readonly cuts = LinkCuts.create();
  /** Messages from daemons to their peers so far, by method. */
  readonly peerMessages = new Map<string, number>();
  private readonly domainsByPeerAddress = new Map<string, string>();

  private constructor(
    readonly fleet: Fleet,
    private readonly clock: Clock,
  ) {}

  /**
   * Starts the stand-ins, publishes the configuration, starts the daemons and waits until each is ready
   * and connected with all others.
   */
  static async create(options: DeploymentOptions): Promise<Deployment> {
    const { clock, configuration, daemonsPerFailureDomain } = options;
    const fleet = await Fleet.create({ clock, configuration, useFreePorts: true });
    const deployment = new Deployment(fleet, clock);
    const logAddress = fleet.log.address;
    await publishInitialConfiguration({ logAddress, clock, configuration: fleet.configuration });
    for (const { failureDomainId } of configuration.inventory.failureDomains) {
      for (let i = 1; i <= daemonsPerFailureDomain; i += 1) {
        await deployment.startDaemon(`${failureDomainId}-vm${i}`, failureDomainId);
      }
    }
    await deployment.updateVmList();
    await deployment.waitUntilReady();
    return deployment;
  }

  /** Waits until daemons that started together have divided the quotas among themselves. */
  async waitForQuotas(): Promise<void> {
    await this.clock.sleep(quotaSharingMs);
  }

  /** Ends a daemon as if its process had been killed. The VM list omits it only after its lag. */
  async kill(daemon: DeployedDaemon): Promise<void> {
    this.daemons.splice(this.daemons.indexOf(daemon), 1);
    await daemon.process.kill();
    void this.updateVmList();
  }

  /** Shuts a daemon down gracefully. */
  async stop(daemon: DeployedDaemon): Promise<void> {
    this.daemons.splice(this.daemons.indexOf(daemon), 1);
    await daemon.process.close();
    void this.updateVmList();
  }

  /** Starts a daemon on free ports. Others discover it only once the VM list is updated. */
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

  /** Updates the VM list to the running daemons, and waits for its lag. */
  updateVmList(): Promise<void> {
    return this.fleet.vmList.replace(this.daemons.map(({ vm }) => vm));
  }

  async close(): Promise<void> {
    await Promise.all(this.daemons.map(({ process }) => process.close()));
    await this.fleet.close();
  }

  /** Creates the ports of a daemon to platform and peers, with links that a cut interrupts. */
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
        const targetDomainId = this.domainsByPeerAddress.get(address) ?? failureDomainId;
        return cuts.isOpen(failureDomainId, targetDomainId);
      }),
    };
  }

  private async waitUntilReady(): Promise<void> {
    const peersPerDaemon = this.daemons.length - 1;
    const isConnected = ({ process: { daemon } }: DeployedDaemon): boolean =>
      daemon.isReady() && daemon.daemonStatus().peers.length === peersPerDaemon;
    const deadlineAtMs = this.clock.nowMs() + startTimeoutMs;
    while (!this.daemons.every(isConnected)) {
      if (this.clock.nowMs() > deadlineAtMs) {
        throw new Error('The daemons were not all ready and connected in time.');
      }
      await this.clock.sleep(pollMs);
    }
  }
}
