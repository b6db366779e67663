/**
 * Checks that every reference in an inventory has its target and that every identifier is unique.
 */
import type { Fault } from '../config/fault.js';
import type { Inventory } from '../types/inventory.js';

/** A field that has to be unique within one list of the inventory, with its values. */
interface UniqueField {
  readonly list: keyof Inventory;
  readonly field: string;
  readonly names: readonly string[];
}

/** A reference from an entry of one list to an entry of another. */
interface Reference {
  readonly path: readonly PropertyKey[];
  readonly name: string;
  /** Identifiers that exist in the other list. */
  readonly known: ReadonlySet<string>;
  /** What is referred to, as the message calls it. */
  readonly entityKind: string;
}

/**
 * Checks an inventory whose schema is already checked.
 *
 * @param inventory - the inventory
 * @returns every fault; none if it is valid
 */
export const checkInventory = (inventory: Inventory): Fault[] => [
  ...listUniqueFields(inventory).flatMap(findDuplicates),
  ...listReferences(inventory).flatMap(checkReference),
  ...findSharedWorkers(inventory),
];

const listUniqueFields = (inventory: Inventory): UniqueField[] => [
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

const findDuplicates = ({ list, field, names }: UniqueField): Fault[] => {
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
      entityKind: 'failure domain',
    })),
    ...inventory.workers.map((worker, i) => ({
      path: ['inventory', 'workers', i, 'rackId'],
      name: worker.rackId,
      known: racks,
      entityKind: 'rack',
    })),
    ...inventory.endpoints.map((endpoint, i) => ({
      path: ['inventory', 'endpoints', i, 'workerId'],
      name: endpoint.workerId,
      known: workers,
      entityKind: 'worker',
    })),
    ...inventory.endpoints.flatMap((endpoint, i) =>
      endpoint.operationIds.map((name, j) => ({
        path: ['inventory', 'endpoints', i, 'operationIds', j],
        name,
        known: operations,
        entityKind: 'operation',
      })),
    ),
  ];
};

const checkReference = ({ path, name, known, entityKind }: Reference): Fault[] =>
  known.has(name)
    ? []
    : [
        {
          path,
          message: `There is no ${entityKind} ${name}.`,
          hint: `Add the ${entityKind} or mend the name.`,
        },
      ];

/** A worker may have one endpoint only: two would both count the worker's slots. */
const findSharedWorkers = (inventory: Inventory): Fault[] => {
  const names = inventory.endpoints.map((endpoint) => endpoint.workerId);
  return findDuplicates({ list: 'endpoints', field: 'workerId', names });
};
