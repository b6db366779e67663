/**
 * Small configurations, callers and submissions for tests.
 */
import { createHash } from 'node:crypto';
import type { Configuration, ConfigurationRecord } from '../types/configuration.js';
import type { CallerClass, Caller } from '../types/inventory.js';
import type { Submission } from '../types/jobs.js';

export interface ConfigurationFixtureOptions {
  readonly failureDomains?: readonly string[];
  /** Each worker has one endpoint. */
  readonly workersPerFailureDomain?: number;
  /** Tasks that a worker runs at once. */
  readonly slots?: number;
}

/**
 * Creates a caller of the team `NAME-team`, whose bearer token is `NAME-token`.
 */
export const createCaller = (name: string, callerClass: CallerClass = 'paying'): Caller => ({
  callerId: name,
  teamId: `${name}-team`,
  class: callerClass,
  tokenSha256: createHash('sha256').update(`${name}-token`).digest('hex'),
});

/**
 * Creates a configuration with the operations `fit` and `grade` (once) and `tag-lookup`
 * (repeatable), and the callers `counter` (paying) and `petshop` (trial).
 */
export const createConfiguration = ({
  failureDomains = ['muenchen'],
  workersPerFailureDomain = 2,
  slots = 2,
}: ConfigurationFixtureOptions = {}): Configuration => {
  const names = failureDomains.flatMap((id) =>
    Array.from({ length: workersPerFailureDomain }, (_, i) => ({ id, name: `${id}-w${i + 1}` })),
  );
  return {
    inventory: {
      failureDomains: failureDomains.map((id) => ({ failureDomainId: id, region: 'bayern' })),
      racks: failureDomains.map((id) => ({ rackId: `${id}-r1`, failureDomainId: id })),
      workers: names.map(({ id, name }) => ({
        workerId: name,
        rackId: `${id}-r1`,
        cores: 32,
        memoryMb: 65_536,
        accelerators: 0,
        slots,
        connections: 64,
        guards: true,
      })),
      endpoints: names.map(({ name }, i) => ({
        endpointId: `${name}-e`,
        workerId: name,
        address: `127.0.0.1:${20_000 + i}`,
        operationIds: ['fit', 'grade', 'tag-lookup'],
        state: 'active',
      })),
      operations: [
        createOperation('fit', 'once', 100),
        createOperation('grade', 'once', 400),
        createOperation('tag-lookup', 'repeatable', 50),
      ],
      callers: [createCaller('counter'), createCaller('petshop', 'trial')],
    },
    rules: {
      objective: 'response-time',
      quotas: [],
      trialSlotShare: 0.25,
      maxQueueMs: 10_000,
      maxDeadlineMs: 60_000,
      resubmissionWindowMs: 600_000,
      retryShare: 0.1,
      copyAnswers: false,
      serviceLevelObjectives: [],
    },
  };
};

/**
 * Creates the log record that publishes a configuration on top of the version before it.
 */
export const createRecord = (
  version: number,
  configuration: Configuration = createConfiguration(),
  publicationId = `publication-${version}`,
): ConfigurationRecord => ({
  version,
  baseVersion: version - 1,
  publicationId,
  publishedBy: 'test',
  configuration,
});

/**
 * Creates a submission with one task of the operation for each input.
 */
export const createSubmission = (
  operation: string,
  inputs: readonly unknown[],
  deadlineMs = 10_000,
): Submission => ({ deadlineMs, tasks: inputs.map((input) => ({ operation, input })) });

const createOperation = (
  operationId: string,
  kind: 'once' | 'repeatable',
  declaredRunTimeMs: number,
) => ({
  operationId,
  kind,
  declaredRunTimeMs,
  maxInputBytes: 65_536,
  cores: 1,
  memoryMb: 64,
  accelerators: 0,
});
