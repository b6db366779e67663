import { Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { RunningJobs } from '../bestEffort/runningJobs.js';
import type { CancellationReply } from '../ports/fleetPeers.js';
import type { CancellationOutcome, JobEnd, JobRequest } from '../ports/jobs.js';
import type { PeerError } from '../ports/peers.js';
import { workerFixture } from '../testing/dispatchFixtures.js';
import { FakeClock } from '../testing/fakeClock.js';
import { FleetFixture } from '../testing/fleetFixture.js';
import type { FixtureMember } from '../testing/fleetFixture.js';
import { silentLogger } from '../testing/silentLogger.js';
import { createDeferred } from '../utils/deferred.js';
import type { FleetPeers } from './fleetPeers.js';
import { JobCancellation } from './jobCancellation.js';

const domains = ['east', 'west', 'north'];
const daemonsPerDomain = 4;

/** Daemons of three failure domains, of which the first of each dispatches to its one worker. */
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

const createFleet = (): Promise<FleetFixture> =>
  FleetFixture.create({ shardCount: 1, workers, runMs: 8_000 }, members);

const job: JobRequest = {
  jobId: '00000000000000aa',
  spec: '',
  steps: [
    {
      taskCount: 1,
      estimatedMs: 8_000,
      after: [],
      needs: { resources: { cpuMillis: 1_000, memoryMb: 64, accelerators: 0 } },
    },
  ],
  unsupported: [],
};

/** Cancels the job at a daemon, and returns the answer and the time that it took. */
const cancelAt = async (fleet: FleetFixture, address: string) => {
  const { clock } = fleet;
  const sentAtMs = clock.nowMs();
  let answer: { readonly outcome: CancellationOutcome; readonly afterMs: number } | undefined;
  void fleet
    .daemon(address)
    .intake.cancel(job.jobId)
    .then((outcome) => (answer = { outcome, afterMs: clock.nowMs() - sentAtMs }));
  await clock.advance(1_000);
  return answer;
};

const cancelCalls = (fleet: FleetFixture): string[] =>
  fleet.calls.filter((call) => call.startsWith('cancelJob')).map((call) => call.slice(-14));

// Guards against a job that runs to its end, since its cancellation reached another daemon.
test('a cancellation at any daemon ends the job, with one message at most to each daemon', async () => {
  for (const [domain, index] of [
    [0, 1],
    [1, 0],
    [1, 3],
    [2, 2],
  ] as const) {
    const fleet = await createFleet();
    let end: JobEnd | undefined;
    void fleet.submit(addressOf(domain, index), job).then((one) => (end = one));
    await fleet.clock.advance(200);
    assert.is(fleet.workers.starts.length, 1);
    const answer = await cancelAt(fleet, addressOf(0, 0));
    assert.equal(answer, { outcome: 'cancelled', afterMs: 0 });
    assert.equal(end, { kind: 'cancelled' });
    assert.is(fleet.stops.length, 1);
    const calls = cancelCalls(fleet);
    assert.is(new Set(calls).size, calls.length, calls.join());
    assert.is(calls.length, members.length - 1);
    const late = addressOf(domain, index === 3 ? 2 : 3);
    assert.equal(await fleet.submit(late, job), { kind: 'cancelled' });
    await fleet.close();
  }
});

// Guards against a cancellation that reaches only the daemons that a new one has met.
test('a daemon that has just started passes a cancellation on to those that it meets a little later', async () => {
  const fleet = await createFleet();
  const running = fleet.submit(addressOf(0, 1), job);
  await fleet.clock.advance(200);
  const address = '127.0.0.9:7000';
  fleet.start({ address, incarnation: 'new', failureDomainId: 'east', shards: [] });
  const answer = await cancelAt(fleet, address);
  assert.is(answer?.outcome, 'cancelled');
  assert.equal(await running, { kind: 'cancelled' });
  await fleet.close();
});

// Guards against a copy of a job that starts after its cancellation was answered.
test('a job that arrives after its cancellation starts nothing at any daemon', async () => {
  const fleet = await createFleet();
  assert.is((await cancelAt(fleet, addressOf(0, 0)))?.outcome, 'unknown');
  for (const { address } of members) {
    const end = fleet.submit(address, job);
    await fleet.clock.advance(100);
    assert.equal(await end, { kind: 'cancelled' }, address);
  }
  assert.equal(fleet.workers.starts, []);
  await fleet.close();
});

// Guards against a job that runs to its end in another domain, since its daemon missed the one message of a contact.
test('a daemon of another domain that was silent for a moment is told of a cancellation, too', async () => {
  const fleet = await createFleet();
  for (let index = 0; index < daemonsPerDomain; index += 1) {
    const address = addressOf(1, index);
    const jobId = `00000000000000b${index}`;
    const running = fleet.submit(address, { ...job, jobId });
    await fleet.clock.advance(200);
    fleet.silent.add(address);
    void fleet.daemon(addressOf(0, 0)).intake.cancel(jobId);
    await fleet.clock.advance(400);
    fleet.silent.delete(address);
    await fleet.clock.advance(1_000);
    assert.is(fleet.daemon(address).intake.state(jobId), 'unknown', address);
    assert.equal(await running, { kind: 'cancelled' });
  }
  await fleet.close();
});

// Guards against a caller that is told of no such job, while the daemon that runs it has only not answered yet.
test('a cancellation is answered once a daemon that was silent for a moment was asked again', async () => {
  const fleet = await createFleet();
  const address = addressOf(0, 1);
  const running = fleet.submit(address, job);
  await fleet.clock.advance(200);
  fleet.silent.add(address);
  void fleet.clock.sleep(250).then(() => fleet.silent.delete(address));
  assert.is((await cancelAt(fleet, addressOf(0, 0)))?.outcome, 'cancelled');
  assert.equal(await running, { kind: 'cancelled' });
  await fleet.close();
});

// Guards against a cancellation that hangs or throws while other daemons are not there.
test('a cancellation is answered while no other daemon is, and found again when it is repeated', async () => {
  const fleet = await createFleet();
  const own = addressOf(0, 0);
  const running = fleet.submit(own, job);
  await fleet.clock.advance(200);
  members.filter(({ address }) => address !== own).forEach(({ address }) => fleet.kill(address));
  for (let round = 0; round < 2; round += 1) {
    assert.equal(await cancelAt(fleet, own), { outcome: 'cancelled', afterMs: 0 });
  }
  assert.equal(await running, { kind: 'cancelled' });
  const sentAtMs = fleet.clock.nowMs();
  const unknown = fleet.daemon(own).intake.cancel('00000000000000bb');
  await fleet.clock.advance(1_000);
  assert.is(await unknown, 'unconfirmed');
  assert.ok(fleet.clock.nowMs() - sentAtMs <= 1_000);
  await fleet.close();
});

test('a cancellation is answered in bounded time while other daemons are silent', async () => {
  const fleet = await createFleet();
  members.forEach(({ address }) => fleet.silent.add(address));
  const answer = await cancelAt(fleet, addressOf(0, 0));
  assert.ok(answer?.outcome === 'unconfirmed' && answer.afterMs <= 500);
  await fleet.close();
});

// Guards against a caller that is told of no such job, while the daemon that runs it is cut off.
test('a job is not answered as unknown while a daemon that may have it is cut off', async () => {
  for (const domain of [0, 1]) {
    const fleet = await createFleet();
    const address = addressOf(domain, 0);
    const running = fleet.submit(address, job);
    await fleet.clock.advance(200);
    fleet.cutOff.add(address);
    await fleet.clock.advance(4_000);
    assert.is((await cancelAt(fleet, addressOf(0, 1)))?.outcome, 'unconfirmed', address);
    fleet.cutOff.delete(address);
    await fleet.clock.advance(1_000);
    assert.is((await cancelAt(fleet, addressOf(0, 1)))?.outcome, 'cancelled', address);
    assert.equal(await running, { kind: 'cancelled' });
    await fleet.close();
  }
});

// Guards against a caller that is told of no answer, while it waits unread at a daemon that stood still.
test('answers that arrived while the daemon stood still are read before a cancellation is answered', async () => {
  const clock = FakeClock.create();
  const reply = createDeferred<Result<CancellationReply, PeerError>>();
  const cancellation = JobCancellation.create({
    clock: {
      nowMs: () => clock.nowMs(),
      wallMs: () => clock.wallMs(),
      bootMs: () => clock.bootMs(),
      sleep: (durationMs, signal) => clock.sleep(durationMs, signal),
      nextTurn: () => {
        reply.resolve(Ok({ wasFound: true }));
        return clock.nextTurn();
      },
    },
    logger: silentLogger,
    failureDomainId: 'east',
    jobs: { cancel: () => false } as unknown as RunningJobs,
    peers: () =>
      ({
        hasListedAll: true,
        reachable: () => [
          { address: 'b', failureDomainId: 'east', link: { cancelJob: () => reply.promise } },
        ],
        silent: () => [],
      }) as unknown as FleetPeers,
  });
  const outcome = cancellation.cancel(job.jobId);
  await clock.flushCallbacks();
  clock.jump(1_000);
  await clock.advance(0);
  assert.is(await outcome, 'cancelled');
  cancellation.close();
});

test('a daemon of an earlier version is no contact that passes a cancellation on', async () => {
  const fleet = await createFleet();
  const own = addressOf(0, 0);
  const [firstContact] = fleet.calls
    .filter((call) => call.startsWith(`beat ${own} 127.0.1.`))
    .map((call) => call.split(' ').at(-1));
  for (const { address } of members.filter((one) => one.address === firstContact)) {
    fleet.earlierVersions.add(address);
  }
  const last = members
    .filter(({ address }) => address.startsWith('127.0.1.') && address !== firstContact)
    .at(-1);
  assert.ok(last);
  const running = fleet.submit(last.address, job);
  await fleet.clock.advance(200);
  assert.is((await cancelAt(fleet, own))?.outcome, 'cancelled');
  assert.equal(await running, { kind: 'cancelled' });
  await fleet.close();
});

test.run();
