/**
 * The stand-ins of a whole deployment: log service, VM list and one endpoint for each of the inventory.
 */
import type { Configuration } from '../src/types/configuration.js';
import type { Endpoint } from '../src/types/inventory.js';
import type { Clock } from '../src/ports/clock.js';
import { EndpointStandIn } from './endpointStandIn.js';
import { LogServiceStandIn } from './logServiceStandIn.js';
import { StartLedger } from './startLedger.js';
import { VmListStandIn } from './vmListStandIn.js';

const host = '127.0.0.1';
/** Records that each stream of the log keeps. */
const retainedRecords = 100_000;
/** Time until a change shows in the VM list. */
const vmListLagMs = 500;

/** Speeds that the endpoints get in rotation; 2 runs tasks in half the time. */
const speeds = [1, 0.5, 2, 1.5, 0.8] as const;

/** Speed of the fastest endpoint. */
export const topSpeed = Math.max(...speeds);

/**
 * Returns the speed of an endpoint.
 *
 * @param index - position of the endpoint in the inventory, from 0
 */
export const speedOf = (index: number): number => speeds[index % speeds.length] ?? 1;

export interface FleetOptions {
  readonly clock: Clock;
  readonly configuration: Configuration;
  /** Whether endpoints listen on free ports; else on those of their addresses in the inventory. */
  readonly useFreePorts: boolean;
  /** Port of the log service; a free one by default. */
  readonly logPort?: number;
  /** Port of the VM list; a free one by default. */
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
   * @returns the running stand-ins; their `configuration` has the endpoints' actual addresses
   */
  static async create(options: FleetOptions): Promise<Fleet> {
    const { clock, configuration } = options;
    const ledger = StartLedger.create(listOnceOperations(configuration));
    const endpoints = new Map<string, EndpointStandIn>();
    const listeningEndpoints: Endpoint[] = [];
    for (const [index, endpoint] of configuration.inventory.endpoints.entries()) {
      const standIn = await createEndpoint(options, endpoint, index, ledger);
      endpoints.set(endpoint.endpointId, standIn);
      listeningEndpoints.push({ ...endpoint, address: standIn.address });
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
    const inventory = { ...configuration.inventory, endpoints: listeningEndpoints };
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
