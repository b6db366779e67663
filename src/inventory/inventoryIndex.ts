/**
 * Lookups over one inventory, computed once for each version.
 */
import type { Caller, Endpoint, Inventory, Operation, Rack, Worker } from './types.js';

/** An endpoint with the worker and the failure domain it belongs to. */
export interface PlacedEndpoint {
  readonly endpoint: Endpoint;
  readonly worker: Worker;
  readonly failureDomainId: string;
}

export class InventoryIndex {
  readonly operations: ReadonlyMap<string, Operation>;
  readonly endpoints: ReadonlyMap<string, PlacedEndpoint>;
  private readonly callersByToken: ReadonlyMap<string, Caller>;
  private readonly callersById: ReadonlyMap<string, Caller>;

  private constructor(inventory: Inventory) {
    this.operations = new Map(inventory.operations.map((o) => [o.operationId, o]));
    this.callersByToken = new Map(inventory.callers.map((c) => [c.tokenSha256, c]));
    this.callersById = new Map(inventory.callers.map((c) => [c.callerId, c]));
    this.endpoints = placeEndpoints(inventory);
  }

  static create(inventory: Inventory): InventoryIndex {
    return new InventoryIndex(inventory);
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
    for (const placed of this.endpoints.values()) {
      if (fits(operation, placed)) {
        return true;
      }
    }
    return false;
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

const placeEndpoints = (inventory: Inventory): ReadonlyMap<string, PlacedEndpoint> => {
  const racks = new Map<string, Rack>(inventory.racks.map((r) => [r.rackId, r]));
  const workers = new Map<string, Worker>(inventory.workers.map((w) => [w.workerId, w]));
  const placed = new Map<string, PlacedEndpoint>();
  for (const endpoint of inventory.endpoints) {
    const worker = workers.get(endpoint.workerId);
    const rack = worker === undefined ? undefined : racks.get(worker.rackId);
    if (worker === undefined || rack === undefined) {
      continue;
    }
    placed.set(endpoint.endpointId, { endpoint, worker, failureDomainId: rack.failureDomainId });
  }
  return placed;
};
