import { Ok } from 'ts-results-es';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Objective } from '../types/configuration.js';
import { DaemonFixture } from '../testing/daemonFixture.js';
import { createCaller, createConfiguration, createSubmission } from '../testing/fixtures.js';

const inputs = Array.from({ length: 32 }, (_, i) => i);

/** Runs one job of 32 tasks in a failure domain of four slots, next to one that is idle. */
const runJob = async (objective: Objective) => {
  const configuration = createConfiguration({
    failureDomains: ['muenchen', 'augsburg'],
    workersPerFailureDomain: 2,
    slots: 2,
  });
  const rules = { ...configuration.rules, objective };
  const vmIds = ['muenchen-vm1', 'augsburg-vm1'];
  const fixture = await DaemonFixture.create(vmIds, { ...configuration, rules });
  const daemon = fixture.daemon('muenchen-vm1');
  const job = createSubmission('fit', inputs);
  const outcome = daemon.submit(createCaller('counter'), `${daemon.owner()}~a`, Ok(job));
  await fixture.clock.advance(5_000);
  const { kind } = await outcome;
  const { endpointIds, starts } = fixture.endpoints;
  const spilledOver = endpointIds.filter((id) => id.startsWith('augsburg')).length;
  await fixture.close();
  return { kind, spilledOver, starts: starts.length };
};

test('offloads to an idle failure domain where the objective is response time', async () => {
  const { kind, spilledOver, starts } = await runJob('response-time');
  assert.is(kind, 'answered');
  assert.ok(spilledOver > 0);
  assert.is(starts, inputs.length);
});

test('keeps tasks in their failure domain where the objective is messages', async () => {
  const { kind, spilledOver, starts } = await runJob('messages');
  assert.is(kind, 'answered');
  assert.is(spilledOver, 0);
  assert.is(starts, inputs.length);
});

test.run();
