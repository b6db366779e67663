import { Ok } from 'ts-results-es';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { PeerService } from '../ports/peers.js';
import { DaemonFixture } from '../testing/daemonFixture.js';
import {
  createCaller,
  createConfiguration,
  createRecord,
  createSubmission,
} from '../testing/fixtures.js';
import { peek } from '../testing/peek.js';

/** Bound on the time from a publication until it is in force on every reachable daemon. */
const inForceWithinMs = 3_000;

const failureDomains = ['muenchen', 'nuernberg', 'augsburg'];
const vmIds = failureDomains.flatMap((id) => [1, 2, 3].map((i) => `${id}-vm${i}`));

const versionsOf = (fixture: DaemonFixture) =>
  [...fixture.daemons.values()].map((daemon) => daemon.configurationVersion);

const setCut = (fixture: DaemonFixture, failureDomainId: string, isCut: boolean) => {
  const inside = vmIds.filter((vmId) => vmId.startsWith(failureDomainId));
  const outside = vmIds.filter((vmId) => !vmId.startsWith(failureDomainId));
  inside.forEach((a) => outside.forEach((b) => fixture.network.setCut(a, b, isCut)));
};

test('puts a version in force everywhere within the bound while one domain cannot reach the log', async () => {
  const fixture = await DaemonFixture.create(vmIds);
  vmIds.slice(-3).forEach((vmId) => fixture.cutOffFromLog.add(vmId));
  await fixture.publish(2, createConfiguration());
  await fixture.clock.advance(inForceWithinMs);
  assert.equal(versionsOf(fixture), Array(9).fill(2));
  await fixture.close();
});

test('keeps the old version in a partitioned domain and updates it once the partition heals', async () => {
  const fixture = await DaemonFixture.create(vmIds);
  vmIds.slice(-3).forEach((vmId) => fixture.cutOffFromLog.add(vmId));
  setCut(fixture, 'augsburg', true);
  await fixture.publish(2, createConfiguration());
  await fixture.clock.advance(60_000);
  assert.equal(versionsOf(fixture), [2, 2, 2, 2, 2, 2, 1, 1, 1]);
  setCut(fixture, 'augsburg', false);
  await fixture.clock.advance(5_000 + inForceWithinMs);
  assert.equal(versionsOf(fixture), Array(9).fill(2));
  await fixture.close();
});

test('fetches the configuration from peers at the start during an outage of the log', async () => {
  const fixture = await DaemonFixture.create(['muenchen-vm1']);
  fixture.log.fault = 'outage';
  const daemon = fixture.start('muenchen-vm2');
  assert.not.ok(daemon.isReady());
  await fixture.clock.advance(inForceWithinMs);
  assert.ok(daemon.isReady());
  await fixture.close();
});

test('rejects an invalid configuration from a peer', async () => {
  const fixture = await DaemonFixture.create(['muenchen-vm1', 'muenchen-vm2']);
  const { inventory, rules } = createConfiguration();
  const record = createRecord(7, { inventory: { ...inventory, workers: [] }, rules });
  const honest = fixture.daemon('muenchen-vm2');
  const broken: PeerService = {
    heartbeat: (received) => ({ ...honest.heartbeat(received), configurationVersion: 7 }),
    forward: (request) => honest.forward(request),
    statusForwarded: (request) => honest.statusForwarded(request),
    cancelForwarded: (request) => honest.cancelForwarded(request),
    handOver: (batch) => honest.handOver(batch),
    fetchInheritance: () => honest.fetchInheritance(),
    passTasks: () => Promise.resolve({ kind: 'other-incarnation' }),
    withdrawPassed: () => undefined,
    fetchConfiguration: () => ({ record }),
  };
  fixture.network.add('muenchen-vm2', broken);
  await fixture.clock.advance(inForceWithinMs);
  assert.is(fixture.daemon('muenchen-vm1').configurationVersion, 1);
  await fixture.close();
});

test('withdraws waiting tasks of a removed caller and completes all other jobs', async () => {
  const fixture = await DaemonFixture.create(['muenchen-vm1']);
  const daemon = fixture.daemon('muenchen-vm1');
  fixture.endpoints.behaviour = (_endpoint, start) => fixture.endpoints.runFor(start, 2_000);
  const inputs = Array.from({ length: 6 }, (_, i) => i);
  const submit = (name: string, key: string, tasks: readonly unknown[]) =>
    daemon.submit(
      createCaller(name),
      `${daemon.owner()}~${key}`,
      Ok(createSubmission('fit', tasks)),
    );
  const running = submit('counter', 'running', inputs.slice(0, 4));
  const queued = submit('petshop', 'queued', inputs);
  const kept = submit('counter', 'kept', inputs);
  await fixture.clock.advance(100);
  const { inventory, rules } = createConfiguration();
  const callers = inventory.callers.filter(({ callerId }) => callerId !== 'petshop');
  await fixture.publish(2, { inventory: { ...inventory, callers }, rules });
  await fixture.clock.advance(100);
  const outcome = await peek(queued);
  const problem =
    outcome?.kind === 'answered' && outcome.answer.status === 'failed'
      ? outcome.answer.problem
      : undefined;
  assert.is(problem?.runState, 'not-run');
  await fixture.clock.advance(10_000);
  for (const other of [await peek(running), await peek(kept)]) {
    assert.is(other?.kind === 'answered' && other.answer.status, 'complete');
  }
  assert.is(fixture.endpoints.starts.length, 10);
  await fixture.close();
});

test.run();
