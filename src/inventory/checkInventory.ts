/**
 * Checks that the parts of an inventory refer to one another and that no name stands twice.
 */
import type { Fault } from '../config/fault.js';
import type { Inventory } from '../types/inventory.js';

/** A list of the inventory with the names of its entries. */
interface NamedList {
  readonly list: keyof Inventory;
  readonly field: string;
  readonly names: readonly string[];
}

/** A reference from one list to names of another. */
interface Reference {
  readonly path: readonly PropertyKey[];
  readonly name: string;
  readonly known: ReadonlySet<string>;
  readonly what: string;
}

/**
 * Checks an inventory whose schema is already checked.
 *
 * @param inventory - the inventory
 * @returns every fault
 */
export const checkInventory = (inventory: Inventory): Fault[] => [
  ...listNames(inventory).flatMap(findDuplicates),
  ...listReferences(inventory).flatMap(checkReference),
  ...findSharedWorkers(inventory),
];

const listNames = (inventory: Inventory): NamedList[] => [
  {
    list: 'failureDomains',
    field: 'failureDomainId',
    names: inventory.failureDomains.map((f) => f.failureDomainId),
  },
  { list: 'racks', field: 'rackId', names: inventory.racks.map((r) => r.rackId) },
  { list: 'workers', field: 'workerId', names: inventory.workers.map((w) => w.workerId) },
  { list: 'endpoints', field: 'endpointId', names: inventory.endpoints.map((e) => e.endpointId) },
  {
    list: 'operations',
    field: 'operationId',
    names: inventory.operations.map((o) => o.operationId),
  },
  { list: 'callers', field: 'callerId', names: inventory.callers.map((c) => c.callerId) },
  { list: 'callers', field: 'tokenSha256', names: inventory.callers.map((c) => c.tokenSha256) },
];

const findDuplicates = ({ list, field, names }: NamedList): Fault[] => {
  const seen = new Set<string>();
  const faults: Fault[] = [];
  for (const [index, name] of names.entries()) {
    if (seen.has(name)) {
      faults.push({
        path: ['inventory', list, index, field],
        message: `${name} stands twice.`,
        hint: `Give each entry of ${list} its own ${field}.`,
      });
    }
    seen.add(name);
  }
  return faults;
};

const listReferences = (inventory: Inventory): Reference[] => {
  const failureDomains = new Set(inventory.failureDomains.map((f) => f.failureDomainId));
  const racks = new Set(inventory.racks.map((r) => r.rackId));
  const workers = new Set(inventory.workers.map((w) => w.workerId));
  const operations = new Set(inventory.operations.map((o) => o.operationId));
  return [
    ...inventory.racks.map((rack, i) => ({
      path: ['inventory', 'racks', i, 'failureDomainId'],
      name: rack.failureDomainId,
      known: failureDomains,
      what: 'failure domain',
    })),
    ...inventory.workers.map((worker, i) => ({
      path: ['inventory', 'workers', i, 'rackId'],
      name: worker.rackId,
      known: racks,
      what: 'rack',
    })),
    ...inventory.endpoints.map((endpoint, i) => ({
      path: ['inventory', 'endpoints', i, 'workerId'],
      name: endpoint.workerId,
      known: workers,
      what: 'worker',
    })),
    ...inventory.endpoints.flatMap((endpoint, i) =>
      endpoint.operationIds.map((name, j) => ({
        path: ['inventory', 'endpoints', i, 'operationIds', j],
        name,
        known: operations,
        what: 'operation',
      })),
    ),
  ];
};

const checkReference = ({ path, name, known, what }: Reference): Fault[] =>
  known.has(name)
    ? []
    : [
        {
          path,
          message: `There is no ${what} ${name}.`,
          hint: `Add the ${what} or mend the name.`,
        },
      ];

/** Slots belong to the worker, so a second endpoint would count them twice. */
const findSharedWorkers = (inventory: Inventory): Fault[] => {
  const names = inventory.endpoints.map((endpoint) => endpoint.workerId);
  return findDuplicates({ list: 'endpoints', field: 'workerId', names });
};
