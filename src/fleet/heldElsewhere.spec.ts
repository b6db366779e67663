import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { JobEnd, JobRequest } from '../ports/jobs.js';
import { workerFixture } from '../testing/dispatchFixtures.js';
import { fleetRoute, FleetFixture } from '../testing/fleetFixture.js';
import type { FixtureMember } from '../testing/fleetFixture.js';
import type { FleetHeartbeat } from '../types/fleet.js';

const domains = ['east', 'west'];
const daemonsPerDomain = 6;

/** Daemons of two failure domains, of which the first of each dispatches; each has two contacts in the other domain. */
const members: FixtureMember[] = domains.flatMap((failureDomainId, domain) =>
  Array.from({ length: daemonsPerDomain }, (_, index) => ({
    address: `127.0.${domain}.${index + 1}:7000`,
    incarnation: `${failureDomainId}-${index}`,
    failureDomainId,
    shards: index === 0 ? [0] : [],
  })),
);

const workers = domains.map((failureDomainId) => ({
  ...workerFixture,
  workerId: `i-${failureDomainId}`,
  failureDomainId,
}));

const addressOf = (domain: number, index: number): string => `127.0.${domain}.${index + 1}:7000`;
const holder = addressOf(0, 1);
const runMs = 4_000;

const createFleet = (): Promise<FleetFixture> =>
  FleetFixture.create({ shardCount: 1, workers, runMs }, members);

const jobOf = (jobId: string): JobRequest => ({
  ...{ jobId, spec: '', unsupported: [] },
  steps: [
    {
      ...{ taskCount: 1, estimatedMs: runMs, after: [] },
      needs: { resources: { cpuMillis: 1_000, memoryMb: 64, accelerators: 0 } },
    },
  ],
});
const job = jobOf('00000000000000aa');

/** A heartbeat of a daemon of the first failure domain, which has no batches. */
const heartbeatOf = (index: number): FleetHeartbeat => ({
  member: {
    ...{ address: addressOf(0, index), incarnation: `east-${index}`, failureDomainId: 'east' },
    weight: 1,
  },
  ...{ routingVersion: 0, isLeaving: false, load: { workers: [] }, askedBatchIds: [] },
});

/** Submits a job for a caller that can leave. */
const submit = (fleet: FleetFixture, address: string, deadlineMs = 30_000) => {
  const caller = new AbortController();
  const result: { end?: JobEnd } = {};
  void fleet
    .daemon(address)
    .intake.submit(fleetRoute, job, deadlineMs, caller.signal)
    .then((end) => (result.end = end));
  return { caller, result };
};

// Guards against a second run of a job whose caller has left unnoticed, at any daemon, also one that is no contact of the holder.
test('the next attempt of a job at any daemon has the end of the first one', async () => {
  for (const [domain, index] of [
    [0, 0],
    [0, 5],
    [1, 0],
    [1, 3],
    [1, 5],
  ] as const) {
    const address = addressOf(domain, index);
    const fleet = await createFleet();
    submit(fleet, holder);
    await fleet.clock.advance(1_800);
    const next = submit(fleet, address);
    await fleet.clock.advance(runMs);
    assert.equal(next.result.end, { kind: 'completed' }, address);
    assert.is(fleet.workers.starts.length, 1, address);
    await fleet.close();
  }
});

// Guards against a second run of a job whose holder's statement is read between the look at the claims and the first start.
test('a job that is stated as held while its request settles does not start beside its first run', async () => {
  const fleet = await createFleet();
  const other = addressOf(0, 2);
  submit(fleet, holder);
  await fleet.clock.advance(10);
  const next = submit(fleet, other);
  const stated = fleet.daemon(holder).peerService.beat(heartbeatOf(2));
  assert.is(stated.heldJobs?.length, 1);
  fleet.daemon(other).peerService.beat(stated);
  await fleet.clock.advance(1_000);
  assert.is(fleet.workers.starts.length, 1);
  await fleet.clock.advance(runMs);
  assert.equal(next.result.end, { kind: 'completed' });
  assert.is(fleet.workers.starts.length, 1);
  await fleet.close();
});

// Guards against a job that is cancelled when the end of its first caller arrives, while the next attempt waits for it.
test('a late end of the first caller does not cancel a job for which another daemon asks', async () => {
  const fleet = await createFleet();
  const first = submit(fleet, holder);
  await fleet.clock.advance(1_800);
  const next = submit(fleet, addressOf(0, 2));
  await fleet.clock.advance(200);
  first.caller.abort();
  await fleet.clock.advance(runMs);
  assert.equal(next.result.end, { kind: 'completed' });
  assert.is(fleet.workers.starts.length, 1);
  await fleet.close();
});

// Guards against a job that runs on for nobody.
test('the job ends a while after the last caller that waits for it at another daemon has left', async () => {
  const fleet = await createFleet();
  const first = submit(fleet, holder);
  await fleet.clock.advance(1_800);
  const next = submit(fleet, addressOf(0, 2));
  await fleet.clock.advance(200);
  first.caller.abort();
  next.caller.abort();
  await fleet.clock.advance(1_500);
  assert.is(fleet.daemon(holder).jobCount, 0);
  assert.is(fleet.stops.length, 1);
  await fleet.close();
});

// Guards against daemons of the version before, which answer no such question, and beside which nothing may run twice either.
test('beside a holder that answers no question the next attempt starts only when the stated time is over', async () => {
  const fleet = await createFleet();
  fleet.earlierVersions.add(holder);
  const deadlineMs = 5_000;
  submit(fleet, holder, deadlineMs);
  await fleet.clock.advance(1_800);
  const next = submit(fleet, addressOf(0, 2));
  await fleet.clock.advance(deadlineMs - 1_800 - 100);
  assert.is(fleet.workers.starts.length, 1);
  await fleet.clock.advance(runMs + 300);
  assert.equal(next.result.end, { kind: 'completed' });
  assert.is(fleet.workers.starts.length, 2);
  await fleet.close();
});

// Guards against callers of a killed daemon that wait for the deadline of their first attempt.
test('the job of a killed daemon starts at another one soon after its caller is back', async () => {
  const fleet = await createFleet();
  submit(fleet, holder);
  await fleet.clock.advance(1_000);
  fleet.kill(holder);
  await fleet.clock.advance(1_300);
  submit(fleet, addressOf(0, 0));
  await fleet.clock.advance(900);
  assert.is(fleet.workers.starts.length, 2);
  await fleet.close();
});

// Guards against a wait that outlasts the cancellation of its job.
test('a cancellation ends the job and the attempts that wait for it', async () => {
  const fleet = await createFleet();
  const first = submit(fleet, holder);
  await fleet.clock.advance(1_800);
  const next = submit(fleet, addressOf(1, 3));
  await fleet.clock.advance(200);
  assert.is(fleet.daemon(addressOf(1, 3)).intake.state(job.jobId), 'running');
  void fleet.daemon(addressOf(1, 3)).intake.cancel(job.jobId);
  await fleet.clock.advance(500);
  assert.equal(first.result.end, { kind: 'cancelled' });
  assert.equal(next.result.end, { kind: 'cancelled' });
  await fleet.clock.advance(2_000);
  assert.is(fleet.workers.starts.length, 1);
  await fleet.close();
});

// Guards against callers that get no answer from a daemon that stops while they wait for another one's job.
test('a daemon that stops answers the attempts that wait, and its jobs for other daemons', async () => {
  const fleet = await createFleet();
  submit(fleet, holder);
  await fleet.clock.advance(1_800);
  const next = submit(fleet, addressOf(0, 2));
  const other = submit(fleet, addressOf(0, 3));
  await fleet.clock.advance(200);
  fleet.daemon(addressOf(0, 2)).giveUpJobs();
  await fleet.clock.advance(10);
  assert.is(next.result.end?.kind, 'refused');
  assert.is(fleet.daemon(addressOf(0, 2)).jobCount, 0);
  fleet.daemon(holder).giveUpJobs();
  await fleet.clock.advance(2_000);
  assert.is(fleet.workers.starts.length, 2);
  await fleet.clock.advance(runMs);
  assert.equal(other.result.end, { kind: 'completed' });
  await fleet.close();
});

test.run();
