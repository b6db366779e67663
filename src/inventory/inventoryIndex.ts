/**
 * Indexes over one inventory, built once for each version of the configuration.
 */
import { isDeepStrictEqual } from 'node:util';
import type { Caller, Endpoint, Inventory, Operation, Rack, Worker } from '../types/inventory.js';

/** An endpoint with its worker and the failure domain of that worker. */
export interface PlacedEndpoint {
  readonly endpoint: Endpoint;
  readonly worker: Worker;
  readonly failureDomainId: string;
}

export class InventoryIndex {
  readonly operations: ReadonlyMap<string, Operation>;
  readonly endpoints: ReadonlyMap<string, PlacedEndpoint>;
  private readonly endpointsByFailureDomain: ReadonlyMap<string, readonly PlacedEndpoint[]>;
  /** Identifiers of the operations that some active endpoint can run. */
  private readonly runnableOperationIds: ReadonlySet<string>;
  private readonly callersByTokenHash: ReadonlyMap<string, Caller>;
  private readonly callersById: ReadonlyMap<string, Caller>;

  private constructor(inventory: Inventory, previous: InventoryIndex | undefined) {
    this.operations = new Map(inventory.operations.map((o) => [o.operationId, o]));
    this.callersByTokenHash = new Map(inventory.callers.map((c) => [c.tokenSha256, c]));
    this.callersById = new Map(inventory.callers.map((c) => [c.callerId, c]));
    this.endpoints = resolveEndpoints(inventory, previous);
    this.runnableOperationIds = findRunnableOperationIds(this.operations, this.endpoints);
    this.endpointsByFailureDomain = groupByFailureDomain(this.endpoints);
  }

  /**
   * Builds the indexes.
   *
   * @param inventory - an inventory that `checkInventory` found no fault in
   * @param previous - index of the version before; an unchanged endpoint keeps its object, since a new
   *   object makes its dispatcher drain it and start over
   */
  static create(inventory: Inventory, previous?: InventoryIndex): InventoryIndex {
    return new InventoryIndex(inventory, previous);
  }

  /** @returns the endpoints whose workers are in the failure domain */
  endpointsOf(failureDomainId: string): readonly PlacedEndpoint[] {
    return this.endpointsByFailureDomain.get(failureDomainId) ?? [];
  }

  /** @param tokenSha256 - SHA-256 hash of the bearer token, in hexadecimal */
  findCallerByToken(tokenSha256: string): Caller | undefined {
    return this.callersByTokenHash.get(tokenSha256);
  }

  findCallerById(callerId: string): Caller | undefined {
    return this.callersById.get(callerId);
  }

  /** @returns whether any active endpoint can run the operation */
  isRunnable(operation: Operation): boolean {
    return this.runnableOperationIds.has(operation.operationId);
  }
}

/**
 * Checks whether an endpoint is active, serves an operation and has a worker that is large enough.
 *
 * @param operation - the operation with the resources that it needs
 * @param placed - the endpoint with its worker
 */
export const canRunOperation = (operation: Operation, placed: PlacedEndpoint): boolean =>
  placed.endpoint.state === 'active' &&
  placed.endpoint.operationIds.includes(operation.operationId) &&
  placed.worker.cores >= operation.cores &&
  placed.worker.memoryMb >= operation.memoryMb &&
  placed.worker.accelerators >= operation.accelerators;

const findRunnableOperationIds = (
  operations: ReadonlyMap<string, Operation>,
  endpoints: ReadonlyMap<string, PlacedEndpoint>,
): ReadonlySet<string> => {
  const runnable = new Set<string>();
  for (const placed of endpoints.values()) {
    for (const operationId of placed.endpoint.operationIds) {
      const operation = operations.get(operationId);
      if (operation !== undefined && canRunOperation(operation, placed)) {
        runnable.add(operationId);
      }
    }
  }
  return runnable;
};

const resolveEndpoints = (
  inventory: Inventory,
  previous: InventoryIndex | undefined,
): ReadonlyMap<string, PlacedEndpoint> => {
  const racks = new Map<string, Rack>(inventory.racks.map((r) => [r.rackId, r]));
  const workers = new Map<string, Worker>(inventory.workers.map((w) => [w.workerId, w]));
  const placed = new Map<string, PlacedEndpoint>();
  for (const endpoint of inventory.endpoints) {
    const worker = workers.get(endpoint.workerId);
    const rack = worker === undefined ? undefined : racks.get(worker.rackId);
    if (worker === undefined || rack === undefined) {
      continue;
    }
    const next = { endpoint, worker, failureDomainId: rack.failureDomainId };
    const known = previous?.endpoints.get(endpoint.endpointId);
    const isUnchanged = known !== undefined && isDeepStrictEqual(known, next);
    placed.set(endpoint.endpointId, isUnchanged ? known : next);
  }
  return placed;
};

const groupByFailureDomain = (
  endpoints: ReadonlyMap<string, PlacedEndpoint>,
): ReadonlyMap<string, readonly PlacedEndpoint[]> => {
  const groups = new Map<string, PlacedEndpoint[]>();
  for (const placed of endpoints.values()) {
    const group = groups.get(placed.failureDomainId) ?? [];
    group.push(placed);
    groups.set(placed.failureDomainId, group);
  }
  return groups;
};
