/**
 * Starts the stand-ins of a whole deployment: platform and endpoints.
 */
import type { Configuration } from '../src/types/configuration.js';
import type { Endpoint } from '../src/types/inventory.js';
import type { Clock } from '../src/ports/clock.js';
import { EndpointStandIn } from './endpointStandIn.js';
import { LogServiceStandIn } from './logServiceStandIn.js';
import { StartLedger } from './startLedger.js';
import { VmListStandIn } from './vmListStandIn.js';

const host = '127.0.0.1';
const retainedRecords = 100_000;
const vmListLagMs = 500;

/** Speeds of the workers in turn; 2 runs tasks in half the time. */
const speeds = [1, 0.5, 2, 1.5, 0.8] as const;

/** Speed of the fastest endpoint. */
export const topSpeed = Math.max(...speeds);

/**
 * Gives the speed of an endpoint by its position in the inventory.
 *
 * @param index - position, from 0
 */
export const speedOf = (index: number): number => speeds[index % speeds.length] ?? 1;

export interface FleetOptions {
  readonly clock: Clock;
  readonly configuration: Configuration;
  /** Takes free ports for the endpoints in place of those of the inventory. */
  readonly useFreePorts: boolean;
  readonly logPort?: number;
  readonly vmListPort?: number;
}

export class Fleet {
  private constructor(
    readonly configuration: Configuration,
    readonly ledger: StartLedger,
    readonly endpoints: ReadonlyMap<string, EndpointStandIn>,
    readonly log: LogServiceStandIn,
    readonly vmList: VmListStandIn,
  ) {}

  /**
   * Starts the stand-ins.
   *
   * @param options - the configuration and the ports
   * @returns the running stand-ins, with the configuration that names their addresses
   */
  static async create(options: FleetOptions): Promise<Fleet> {
    const { clock, configuration } = options;
    const ledger = StartLedger.create(listOnceOperations(configuration));
    const endpoints = new Map<string, EndpointStandIn>();
    const addressed: Endpoint[] = [];
    for (const [index, endpoint] of configuration.inventory.endpoints.entries()) {
      const standIn = await createEndpoint(options, endpoint, index, ledger);
      endpoints.set(endpoint.endpointId, standIn);
      addressed.push({ ...endpoint, address: standIn.address });
    }
    const log = await LogServiceStandIn.create({
      host,
      port: options.logPort ?? 0,
      clock,
      retainedRecords,
    });
    const vmList = await VmListStandIn.create({
      host,
      port: options.vmListPort ?? 0,
      clock,
      lagMs: vmListLagMs,
    });
    const inventory = { ...configuration.inventory, endpoints: addressed };
    return new Fleet({ ...configuration, inventory }, ledger, endpoints, log, vmList);
  }

  async close(): Promise<void> {
    await Promise.all([...this.endpoints.values()].map((endpoint) => endpoint.close()));
    await this.log.close();
    await this.vmList.close();
  }
}

const createEndpoint = (
  { clock, configuration, useFreePorts }: FleetOptions,
  endpoint: Endpoint,
  index: number,
  ledger: StartLedger,
): Promise<EndpointStandIn> => {
  const { workers, operations } = configuration.inventory;
  const worker = workers.find(({ workerId }) => workerId === endpoint.workerId);
  const port = Number(endpoint.address.split(':')[1]);
  return EndpointStandIn.create({
    host,
    port: useFreePorts ? 0 : port,
    clock,
    ledger,
    slots: worker?.slots ?? 1,
    connections: worker?.connections ?? 1,
    speed: speedOf(index),
    runTimes: operations.map(({ operationId, declaredRunTimeMs }) => ({
      operationId,
      runTimeMs: declaredRunTimeMs,
    })),
  });
};

const listOnceOperations = ({ inventory }: Configuration): string[] =>
  inventory.operations.filter(({ kind }) => kind === 'once').map(({ operationId }) => operationId);
