/**
 * A worker, a batch and a route, for tests of what dispatches to workers or accepts jobs for them.
 */
import type { Batch } from '../types/dispatch.js';
import type { Route } from '../types/routing.js';
import type { WorkerRecord } from '../types/workers.js';

export const workerFixture: WorkerRecord = {
  workerId: 'i-1',
  address: '127.0.0.1:1',
  serviceId: 'fit',
  failureDomainId: 'east',
  state: 'ready',
  startedAtMs: 5,
  capacity: { cpuMillis: 32_000, memoryMb: 65_536, accelerators: 0 },
  labels: [],
};

/** A route to the service of `workerFixture`. */
export const routeFixture: Route = {
  routeId: 'r',
  host: 'jobs.example',
  pathPrefix: '/fit/',
  serviceId: workerFixture.serviceId,
  priority: 0,
  maxFailedRuns: 3,
  timeoutMs: 1_500,
  objectiveStretch: 1.6,
  objectiveSlackMs: 60,
};

/** One task of 14 cores for the service of `workerFixture`. */
export const batchFixture: Batch = {
  batchId: 'b-1',
  jobId: '0000000000000001',
  stepIndex: 0,
  serviceId: 'fit',
  spec: '',
  needs: { resources: { cpuMillis: 14_000, memoryMb: 64, accelerators: 0 } },
  estimatedMs: 100,
  objectiveInMs: 1_000,
  giveUpInMs: 3_000,
  expiresInMs: 1_000,
  maxWaitMs: 100,
  priority: 0,
  maxFailedRuns: 3,
  tasks: [{ index: 0, nextRun: 1, failedRuns: 0, lostWorkers: 0 }],
};
