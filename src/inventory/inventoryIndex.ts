/**
 * Lookups over one inventory, computed once for each version.
 */
import { isDeepStrictEqual } from 'node:util';
import type { Caller, Endpoint, Inventory, Operation, Rack, Worker } from '../types/inventory.js';

/** An endpoint with the worker and the failure domain it belongs to. */
export interface PlacedEndpoint {
  readonly endpoint: Endpoint;
  readonly worker: Worker;
  readonly failureDomainId: string;
}

export class InventoryIndex {
  readonly operations: ReadonlyMap<string, Operation>;
  readonly endpoints: ReadonlyMap<string, PlacedEndpoint>;
  private readonly endpointsByFailureDomain: ReadonlyMap<string, readonly PlacedEndpoint[]>;
  /** Operations that some endpoint can run. */
  private readonly runnable: ReadonlySet<string>;
  private readonly callersByToken: ReadonlyMap<string, Caller>;
  private readonly callersById: ReadonlyMap<string, Caller>;

  private constructor(inventory: Inventory, previous: InventoryIndex | undefined) {
    this.operations = new Map(inventory.operations.map((o) => [o.operationId, o]));
    this.callersByToken = new Map(inventory.callers.map((c) => [c.tokenSha256, c]));
    this.callersById = new Map(inventory.callers.map((c) => [c.callerId, c]));
    this.endpoints = placeEndpoints(inventory, previous);
    this.runnable = findRunnable(this.operations, this.endpoints);
    this.endpointsByFailureDomain = groupByFailureDomain(this.endpoints);
  }

  /**
   * Computes the lookups.
   *
   * @param inventory - the inventory
   * @param previous - lookups of the version before; endpoints that did not change stay the same
   *   objects, so that nobody stops serving them
   */
  static create(inventory: Inventory, previous?: InventoryIndex): InventoryIndex {
    return new InventoryIndex(inventory, previous);
  }

  /**
   * Finds the endpoints of one failure domain.
   *
   * @param failureDomainId - the failure domain
   */
  endpointsOf(failureDomainId: string): readonly PlacedEndpoint[] {
    return this.endpointsByFailureDomain.get(failureDomainId) ?? [];
  }

  callerByToken(tokenSha256: string): Caller | undefined {
    return this.callersByToken.get(tokenSha256);
  }

  callerById(callerId: string): Caller | undefined {
    return this.callersById.get(callerId);
  }

  /**
   * Tells whether any endpoint that is not leaving can run an operation.
   *
   * @param operation - the operation
   */
  fitsSomewhere(operation: Operation): boolean {
    return this.runnable.has(operation.operationId);
  }
}

/**
 * Tells whether an endpoint can run an operation.
 *
 * @param operation - the operation with its needs
 * @param placed - the endpoint with its worker
 */
export const fits = (operation: Operation, placed: PlacedEndpoint): boolean =>
  placed.endpoint.state === 'active' &&
  placed.endpoint.operationIds.includes(operation.operationId) &&
  placed.worker.cores >= operation.cores &&
  placed.worker.memoryMb >= operation.memoryMb &&
  placed.worker.accelerators >= operation.accelerators;

const findRunnable = (
  operations: ReadonlyMap<string, Operation>,
  endpoints: ReadonlyMap<string, PlacedEndpoint>,
): ReadonlySet<string> => {
  const runnable = new Set<string>();
  for (const placed of endpoints.values()) {
    for (const operationId of placed.endpoint.operationIds) {
      const operation = operations.get(operationId);
      if (operation !== undefined && fits(operation, placed)) {
        runnable.add(operationId);
      }
    }
  }
  return runnable;
};

const placeEndpoints = (
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
