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

/** Time within which an accepted configuration is in force on every reachable daemon. */
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

test('brings a version to every daemon within the bound where one domain has no log', async () => {
  const fixture = await DaemonFixture.create(vmIds);
  vmIds.slice(-3).forEach((vmId) => fixture.cutOffFromLog.add(vmId));
  await fixture.publish(2, createConfiguration());
  await fixture.clock.advance(inForceWithinMs);
  assert.equal(versionsOf(fixture), Array(9).fill(2));
  await fixture.close();
});

test('keeps a version in a domain that is cut off and brings the next once it is healed', async () => {
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

test('starts a daemon from its peers while the log is out', async () => {
  const fixture = await DaemonFixture.create(['muenchen-vm1']);
  fixture.log.fault = 'outage';
  const daemon = fixture.start('muenchen-vm2');
  assert.not.ok(daemon.isReady());
  await fixture.clock.advance(inForceWithinMs);
  assert.ok(daemon.isReady());
  await fixture.close();
});

test('refuses a configuration of a peer that is not valid', async () => {
  const fixture = await DaemonFixture.create(['muenchen-vm1', 'muenchen-vm2']);
  const { inventory, rules } = createConfiguration();
  const record = createRecord(7, { inventory: { ...inventory, workers: [] }, rules });
  const honest = fixture.daemon('muenchen-vm2');
  const broken: PeerService = {
    heartbeat: (theirs) => ({ ...honest.heartbeat(theirs), configurationVersion: 7 }),
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

test('takes queued work of a removed caller out, and lets other work end', async () => {
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
