/**
 * Creates configurations of a given fleet size, for measurements at the target's size.
 */
import type { Configuration } from '../src/types/configuration.js';

/** Numbers of regions, failure domains, workers and teams of a fleet. */
export interface FleetSizes {
  readonly regions: number;
  readonly failureDomains: number;
  readonly workers: number;
  readonly teams: number;
}

/** The fleet size that the project has to support. */
export const targetSizes: FleetSizes = {
  regions: 2,
  failureDomains: 7,
  workers: 910,
  teams: 190,
};

const workersPerRack = 8;
const operationIds = ['fit', 'grade', 'tag-lookup'] as const;

/**
 * Creates a configuration with one endpoint on each worker and one caller in each team.
 *
 * @param sizes - numbers of its entries; failure domains and regions are filled evenly
 */
export const createSizedConfiguration = (sizes: FleetSizes): Configuration => {
  const { regions, failureDomains, workers, teams } = sizes;
  const workersPerDomain = Math.ceil(workers / failureDomains);
  const domainOf = (worker: number): number => Math.floor(worker / workersPerDomain);
  const rackOf = (worker: number): string =>
    `domain${domainOf(worker)}-rack${Math.floor((worker % workersPerDomain) / workersPerRack)}`;
  const numbers = Array.from({ length: workers }, (_, index) => index);
  const racks = new Map(numbers.map((worker) => [rackOf(worker), domainOf(worker)]));
  return {
    inventory: {
      failureDomains: Array.from({ length: failureDomains }, (_, index) => ({
        failureDomainId: `domain${index}`,
        region: `region${index % regions}`,
      })),
      racks: [...racks].map(([rackId, domain]) => ({ rackId, failureDomainId: `domain${domain}` })),
      workers: numbers.map((worker) => ({
        workerId: `worker${worker}`,
        rackId: rackOf(worker),
        cores: 32,
        memoryMb: 65_536,
        accelerators: 1,
        slots: 8,
        connections: 64,
        guards: true,
      })),
      endpoints: numbers.map((worker) => ({
        endpointId: `endpoint${worker}`,
        workerId: `worker${worker}`,
        address: `10.0.${Math.floor(worker / 250)}.${worker % 250}:8080`,
        operationIds: [...operationIds],
        state: 'active' as const,
      })),
      operations: operationIds.map((operationId) => ({
        operationId,
        kind: operationId === 'tag-lookup' ? ('repeatable' as const) : ('once' as const),
        declaredRunTimeMs: 200,
        maxInputBytes: 16_384,
        cores: 1,
        memoryMb: 256,
        accelerators: 0,
      })),
      callers: Array.from({ length: teams }, (_, team) => ({
        callerId: `caller${team}`,
        teamId: `team${team}`,
        class: team % 10 === 0 ? ('trial' as const) : ('paying' as const),
        tokenSha256: team.toString(16).padStart(64, '0'),
      })),
    },
    rules: {
      objective: 'response-time',
      quotas: Array.from({ length: teams }, (_, team) => ({
        teamId: `team${team}`,
        startsPerS: 500,
        slots: 100,
      })),
      trialSlotShare: 0.2,
      maxQueueMs: 10_000,
      maxDeadlineMs: 60_000,
      resubmissionWindowMs: 600_000,
      retryShare: 0.1,
      copyAnswers: false,
      serviceLevelObjectives: [],
    },
  };
};
