/**
 * A users' configuration, cut down so that a whole fleet runs in one thread.
 */
import { readYamlFile } from '../src/adapters/yaml/readYamlFile.js';
import { checkConfiguration } from '../src/configuration/checkConfiguration.js';
import type { Configuration } from '../src/types/configuration.js';
import { speedOf } from '../standins/fleet.js';

const workersPerFailureDomain = 5;
const slotsPerWorker = 4;
const lookupShare = 0.3;

/**
 * Reads a configuration and keeps a few workers of each failure domain.
 *
 * @param file - path of the YAML file
 */
export const readBenchConfiguration = (file: string): Configuration => {
  const configuration = readYamlFile(file, checkConfiguration).expect(`${file} is valid.`);
  const { inventory } = configuration;
  const domainOfRack = new Map(inventory.racks.map((r) => [r.rackId, r.failureDomainId]));
  const kept = inventory.failureDomains.flatMap(({ failureDomainId }) =>
    inventory.workers
      .filter(({ rackId }) => domainOfRack.get(rackId) === failureDomainId)
      .slice(0, workersPerFailureDomain),
  );
  const keptIds = new Set(kept.map(({ workerId }) => workerId));
  return {
    ...configuration,
    inventory: {
      ...inventory,
      workers: kept.map((worker) => ({ ...worker, slots: slotsPerWorker })),
      endpoints: inventory.endpoints.filter(({ workerId }) => keptIds.has(workerId)),
    },
  };
};

/**
 * Works out how many tasks a second the endpoints can run, at the true run times.
 *
 * @param configuration - the configuration
 */
export const computeCapacityTasksPerS = ({ inventory }: Configuration): number => {
  const meanOf = (kind: 'once' | 'repeatable'): number => {
    const runTimesMs = inventory.operations
      .filter((operation) => operation.kind === kind)
      .map(({ declaredRunTimeMs }) => declaredRunTimeMs);
    return runTimesMs.reduce((sum, ms) => sum + ms, 0) / runTimesMs.length;
  };
  const meanRunTimeMs = lookupShare * meanOf('repeatable') + (1 - lookupShare) * meanOf('once');
  const slots = inventory.endpoints.reduce((sum, endpoint, index) => {
    const worker = inventory.workers.find(({ workerId }) => workerId === endpoint.workerId);
    return sum + (worker?.slots ?? 0) * speedOf(index);
  }, 0);
  return (slots * 1_000) / meanRunTimeMs;
};
