/**
 * Baseline dispatchers as the system under test: as many as there are daemons of toucandyke, behind the
 * same interface for callers.
 */
import { CallerHttpServer } from '../../src/adapters/callerHttp/callerHttpServer.js';
import { EndpointHttpClient } from '../../src/adapters/endpointHttp/endpointHttpClient.js';
import type { HttpServer } from '../../src/adapters/http/httpServer.js';
import type { Configuration } from '../../src/types/configuration.js';
import { InventoryIndex } from '../../src/inventory/inventoryIndex.js';
import type { Clock } from '../../src/ports/clock.js';
import type { Random } from '../../src/ports/random.js';
import { silentLogger } from '../../src/testing/silentLogger.js';
import { Fleet } from '../../standins/fleet.js';
import { LinkCuts } from '../../standins/linkCuts.js';
import type { PeerMessageCount, SystemUnderTest } from '../system.js';
import { BaselineDispatcher } from './baselineDispatcher.js';
import type { BaselinePolicy } from './baselineDispatcher.js';

const host = '127.0.0.1';

export interface BaselineSystemOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly policy: BaselinePolicy;
  readonly configuration: Configuration;
  readonly daemonsPerFailureDomain: number;
}

/** One dispatcher with its server for callers and its client of the endpoints. */
interface BaselineDaemon {
  readonly callers: HttpServer;
  readonly endpoints: EndpointHttpClient;
  isRunning: boolean;
}

export class BaselineSystem implements SystemUnderTest {
  private readonly daemons: BaselineDaemon[] = [];
  private readonly cuts = LinkCuts.create();
  private readonly inventory: InventoryIndex;

  private constructor(
    private readonly options: BaselineSystemOptions,
    readonly fleet: Fleet,
  ) {
    this.inventory = InventoryIndex.create(fleet.configuration.inventory);
  }

  static async create(options: BaselineSystemOptions): Promise<BaselineSystem> {
    const { clock, configuration, daemonsPerFailureDomain } = options;
    const fleet = await Fleet.create({ clock, configuration, useFreePorts: true });
    const system = new BaselineSystem(options, fleet);
    const count = configuration.inventory.failureDomains.length * daemonsPerFailureDomain;
    for (let position = 0; position < count; position += 1) {
      system.daemons.push(await system.startDaemon(position));
    }
    return system;
  }

  get daemonCount(): number {
    return this.daemons.length;
  }

  addresses(): readonly string[] {
    return this.daemons.filter((d) => d.isRunning).map(({ callers }) => callers.address);
  }

  async kill(position: number): Promise<void> {
    const daemon = this.daemon(position);
    daemon.isRunning = false;
    await Promise.all([daemon.callers.kill(), daemon.endpoints.close()]);
  }

  async stop(position: number): Promise<void> {
    const daemon = this.daemon(position);
    daemon.isRunning = false;
    await daemon.callers.close();
    await daemon.endpoints.close();
  }

  async restart(position: number): Promise<void> {
    this.daemons[position] = await this.startDaemon(position);
  }

  cut(failureDomainId: string): void {
    this.cuts.cut(failureDomainId);
  }

  heal(): void {
    this.cuts.heal();
  }

  peerMessages(): readonly PeerMessageCount[] {
    return [];
  }

  async close(): Promise<void> {
    const running = this.daemons.filter(({ isRunning }) => isRunning);
    await Promise.all(running.map(({ callers }) => callers.close()));
    await Promise.all(running.map(({ endpoints }) => endpoints.close()));
    await this.fleet.close();
  }

  private async startDaemon(position: number): Promise<BaselineDaemon> {
    const { clock, random, policy, configuration, daemonsPerFailureDomain } = this.options;
    const domain = Math.floor(position / daemonsPerFailureDomain);
    const ownDomainId = configuration.inventory.failureDomains[domain]?.failureDomainId ?? '';
    const endpoints = EndpointHttpClient.create(clock);
    const service = BaselineDispatcher.create({
      policy,
      clock,
      random,
      inventory: this.inventory,
      endpoints,
      canReach: ({ failureDomainId }) => this.cuts.isOpen(ownDomainId, failureDomainId),
    });
    const logger = silentLogger;
    const callers = await CallerHttpServer.create({ host, port: 0, service, logger });
    return { callers, endpoints, isRunning: true };
  }

  private daemon(position: number): BaselineDaemon {
    const daemon = this.daemons[position];
    if (daemon === undefined) {
      throw new Error(`There is no daemon at position ${position}.`);
    }
    return daemon;
  }
}
