import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { noMetrics } from '../adapters/system/noMetrics.js';
import type { RunningJobs } from '../bestEffort/runningJobs.js';
import type { JobRequest } from '../ports/jobs.js';
import { RoutingStore } from '../routing/routingStore.js';
import { silentLogger } from '../testing/silentLogger.js';
import type { Route } from '../types/routing.js';
import type { WorkerDirectory } from '../workers/workerDirectory.js';
import { JobIntake } from './jobIntake.js';

const route: Route = {
  routeId: 'r',
  host: 'jobs.example',
  pathPrefix: '/fit/',
  serviceId: 'fit',
  priority: 0,
  maxFailedRuns: 3,
  timeoutMs: 1_500,
  objectiveStretch: 1.6,
  objectiveSlackMs: 60,
};

const requestOf = (jobId: string): JobRequest => ({ jobId, spec: '', steps: [], unsupported: [] });

test('a stopping daemon answers a repeated request of a running job with the end of that job', async () => {
  const jobs: Pick<RunningJobs, 'state' | 'submit'> = {
    state: (jobId) => (jobId === 'running' ? 'running' : 'unknown'),
    submit: () => Promise.resolve({ kind: 'completed' }),
  };
  const directory: Pick<WorkerDirectory, 'canEverRun'> = { canEverRun: () => true };
  const intake = JobIntake.create({
    logger: silentLogger,
    metrics: noMetrics,
    routing: RoutingStore.create(),
    directory: directory as WorkerDirectory,
    jobs: jobs as RunningJobs,
  });
  intake.close();
  const { signal } = new AbortController();
  const repeated = await intake.submit(route, requestOf('running'), 1_000, signal);
  assert.equal(repeated, { kind: 'completed' });
  const fresh = await intake.submit(route, requestOf('new'), 1_000, signal);
  assert.is(fresh.kind, 'refused');
});

test.run();
