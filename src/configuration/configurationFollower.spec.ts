import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FakeClock } from '../testing/fakeClock.js';
import { FakeLogService } from '../testing/fakeLogService.js';
import { createConfiguration, createRecord } from '../testing/fixtures.js';
import { silentLogger } from '../testing/silentLogger.js';
import { ConfigurationFollower } from './configurationFollower.js';
import { configurationStream } from './configurationReader.js';
import { ConfigurationStore } from './configurationStore.js';
import type { ConfigurationEntry, ConfigurationRecord } from '../types/configuration.js';

const create = () => {
  const clock = FakeClock.create();
  const log = FakeLogService.create(clock);
  const append = (...entries: readonly unknown[]) =>
    log.append(configurationStream, entries, new AbortController().signal);
  const follow = (rank = 0) => {
    const store = ConfigurationStore.create();
    const follower = ConfigurationFollower.create({
      logService: log,
      clock,
      logger: silentLogger,
      store,
      checkpointRank: () => rank,
    });
    return { store, follower };
  };
  const close = async (...followers: readonly ConfigurationFollower[]) => {
    const closed = Promise.all(followers.map((follower) => follower.close()));
    await clock.advance(10_000);
    await closed;
  };
  return { clock, log, append, follow, close };
};

const publication = (record: ConfigurationRecord): ConfigurationEntry => ({
  kind: 'publication',
  record,
});

const idOf = (store: ConfigurationStore) => store.current?.record.publicationId;

test('accepts the first publication on a base version in log order and ignores later ones', async () => {
  const { clock, append, follow, close } = create();
  const early = follow();
  await append(publication(createRecord(1)));
  await clock.advance(100);
  await append(publication(createRecord(2, undefined, 'first')));
  await append(publication(createRecord(2, undefined, 'second')));
  await append(publication(createRecord(3, undefined, 'third')));
  await clock.advance(100);
  const late = follow();
  await clock.advance(100);
  assert.is(idOf(early.store), 'third');
  assert.is(idOf(late.store), 'third');
  await close(early.follower, late.follower);
});

test('ignores older records that are published again, and one that skips versions', async () => {
  const { clock, append, follow, close } = create();
  const { store, follower } = follow();
  await append(...[1, 2, 3].map((version) => publication(createRecord(version))));
  await append(publication(createRecord(1)), publication(createRecord(2)));
  await append(publication({ ...createRecord(9, undefined, 'skips'), baseVersion: 3 }));
  await clock.advance(100);
  assert.is(store.version, 3);
  await close(follower);
});

test('skips a record whose configuration refers to a missing worker', async () => {
  const { clock, append, follow, close } = create();
  const { store, follower } = follow();
  const { inventory, rules } = createConfiguration();
  const broken = { inventory: { ...inventory, workers: inventory.workers.slice(1) }, rules };
  await append(publication(createRecord(1)), publication(createRecord(2, broken, 'broken')));
  await append(publication(createRecord(2, undefined, 'sound')));
  await clock.advance(100);
  assert.is(idOf(store), 'sound');
  await close(follower);
});

test('decides nothing on a truncated log before a checkpoint, then agrees with other daemons', async () => {
  const { clock, log, append, follow, close } = create();
  const early = follow(1_000);
  await append(publication(createRecord(1)), publication(createRecord(2, undefined, 'winner')));
  await clock.advance(100);
  log.retainedRecords = 1;
  await append(publication(createRecord(2, undefined, 'loser')));
  const late = follow(1_000);
  await clock.advance(100);
  assert.is(late.store.version, 0);
  log.retainedRecords = 10;
  const inForce = createRecord(2, undefined, 'winner');
  await append(publication(createRecord(3, undefined, 'next')));
  await append({ kind: 'checkpoint', upToOffset: 2, record: inForce });
  await clock.advance(100);
  assert.is(idOf(early.store), 'next');
  assert.is(idOf(late.store), 'next');
  await close(early.follower, late.follower);
});

test('applies a checkpoint but decides no later entry if entries after its offset are dropped', async () => {
  const { clock, log, append, follow, close } = create();
  await append(publication(createRecord(1)), publication(createRecord(2, undefined, 'winner')));
  log.retainedRecords = 2;
  await append({ kind: 'checkpoint', upToOffset: 1, record: createRecord(1) });
  await append(publication(createRecord(2, undefined, 'loser')));
  const { store, follower } = follow(1_000);
  await clock.advance(100);
  assert.is(store.version, 1);
  await close(follower);
});

test('continues from the checkpoint of a peer after it has missed entries', async () => {
  const { clock, log, append, follow, close } = create();
  const { store, follower } = follow(1_000);
  await append(publication(createRecord(1)));
  await clock.advance(100);
  log.fault = 'outage';
  await clock.advance(3_000);
  log.fault = 'none';
  log.retainedRecords = 2;
  await append(publication(createRecord(2)), publication(createRecord(3)));
  await append(publication(createRecord(2, undefined, 'loser')), publication(createRecord(4)));
  await clock.advance(3_000);
  assert.is(store.version, 1);
  follower.adoptCheckpoint({ record: createRecord(3), upToOffset: 4 });
  await append(publication(createRecord(4, undefined, 'late')));
  await clock.advance(3_000);
  assert.is(idOf(store), 'publication-4');
  follower.adoptCheckpoint({ record: createRecord(2), upToOffset: 2 });
  assert.is(store.version, 4);
  await close(follower);
});

test('appends the record in force again before retention drops it: one daemon, at a bounded rate', async () => {
  const { clock, log, append, follow, close } = create();
  log.retainedRecords = 4;
  await append(publication(createRecord(1)));
  const followers = [follow(0), follow(1), follow(2)];
  await clock.advance(100);
  for (let i = 0; i < 4; i += 1) {
    await append(publication(createRecord(1, undefined, `loser-${i}`)));
  }
  const before = log.appendCount;
  await clock.advance(30_000);
  assert.is(log.appendCount - before, 1);
  const late = follow(3);
  await clock.advance(100);
  assert.is(idOf(late.store), 'publication-1');
  await clock.advance(3_600_000);
  assert.ok(log.appendCount - before <= 8, `${log.appendCount - before} appends in an hour`);
  await close(late.follower, ...followers.map(({ follower }) => follower));
});

test('appends the checkpoint from the next daemon in rank if the first one does not', async () => {
  const { clock, log, append, follow, close } = create();
  await append(publication(createRecord(1)));
  const { follower } = follow(1);
  const before = log.appendCount;
  await clock.advance(620_000);
  assert.is(log.appendCount, before);
  await clock.advance(20_000);
  assert.is(log.appendCount, before + 1);
  await close(follower);
});

test('pauses between reads during an outage of the log', async () => {
  const { clock, log, append, follow, close } = create();
  log.fault = 'outage';
  let reads = 0;
  const read = log.read.bind(log);
  log.read = (...parameters) => {
    reads += 1;
    return read(...parameters);
  };
  const { store, follower } = follow();
  await clock.advance(10_000);
  assert.ok(reads <= 41, `${reads} reads in ten seconds`);
  log.fault = 'none';
  await append(publication(createRecord(1)));
  await clock.advance(300);
  assert.is(store.version, 1);
  await close(follower);
});

test.run();
