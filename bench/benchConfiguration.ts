/**
 * An example configuration, reduced so that a whole fleet runs in one thread.
 */
import { readYamlFile } from '../src/adapters/yaml/readYamlFile.js';
import { checkConfiguration } from '../src/configuration/checkConfiguration.js';
import type { Configuration } from '../src/types/configuration.js';
import { speedOf } from '../standins/fleet.js';

const workersPerFailureDomain = 5;
const slotsPerWorker = 4;
/** Share of the tasks that are lookups, as in the planned load. */
const lookupShare = 0.3;

/**
 * Reads a configuration and reduces it to a few workers of each failure domain, each with few slots.
 *
 * @param file - path of the YAML file; it has to be valid
 */
export const readBenchConfiguration = (file: string): Configuration => {
  const configuration = readYamlFile(file, checkConfiguration).expect(`${file} is valid.`);
  const { inventory } = configuration;
  const domainIdByRack = new Map(
    inventory.racks.map((rack) => [rack.rackId, rack.failureDomainId]),
  );
  const keptWorkers = inventory.failureDomains.flatMap(({ failureDomainId }) =>
    inventory.workers
      .filter(({ rackId }) => domainIdByRack.get(rackId) === failureDomainId)
      .slice(0, workersPerFailureDomain),
  );
  const keptWorkerIds = new Set(keptWorkers.map(({ workerId }) => workerId));
  return {
    ...configuration,
    inventory: {
      ...inventory,
      workers: keptWorkers.map((worker) => ({ ...worker, slots: slotsPerWorker })),
      endpoints: inventory.endpoints.filter(({ workerId }) => keptWorkerIds.has(workerId)),
    },
  };
};

/**
 * Computes how many tasks a second the endpoints can run at their true speeds, for the planned mix of
 * lookups and other tasks.
 */
export const computeCapacityTasksPerS = ({ inventory }: Configuration): number => {
  const meanRunTimeMsOf = (kind: 'once' | 'repeatable'): number => {
    const runTimesMs = inventory.operations
      .filter((operation) => operation.kind === kind)
      .map(({ declaredRunTimeMs }) => declaredRunTimeMs);
    return runTimesMs.reduce((sum, ms) => sum + ms, 0) / runTimesMs.length;
  };
  const meanRunTimeMs =
    lookupShare * meanRunTimeMsOf('repeatable') + (1 - lookupShare) * meanRunTimeMsOf('once');
  const slots = inventory.endpoints.reduce((sum, endpoint, index) => {
    const worker = inventory.workers.find(({ workerId }) => workerId === endpoint.workerId);
    return sum + (worker?.slots ?? 0) * speedOf(index);
  }, 0);
  return (slots * 1_000) / meanRunTimeMs;
};
