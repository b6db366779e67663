import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FakeClock } from '../testing/fakeClock.js';
import { FakeLogService } from '../testing/fakeLogService.js';
import { createConfiguration, createRecord } from '../testing/fixtures.js';
import { configurationStream } from './configurationReader.js';
import { publishConfiguration, readCurrentRecord } from './publisher.js';
import type { PublishRequest } from './publisher.js';

const create = () => {
  const clock = FakeClock.create();
  const logService = FakeLogService.create(clock);
  const stop = new AbortController();
  const publish = (publicationId: string, request: Partial<PublishRequest> = {}) =>
    publishConfiguration(
      { logService, clock },
      {
        configuration: createConfiguration(),
        publishedBy: publicationId,
        publicationId,
        ...request,
      },
      stop.signal,
    );
  const current = async () => {
    const record = await readCurrentRecord({ logService, clock }, stop.signal);
    return record.isOk() ? record.value?.publicationId : record.error.kind;
  };
  return { clock, logService, stop, publish, current };
};

test('reports a conflict to all but one of two operators who publish at the same time', async () => {
  const { publish, current } = create();
  (await publish('base')).unwrap();
  const [ana, bea] = await Promise.all([publish('ana'), publish('bea')]);
  assert.is(ana.unwrap(), 2);
  assert.equal(bea.isErr() && bea.error, { kind: 'conflict', version: 2, publishedBy: 'ana' });
  assert.is(await current(), 'ana');
});

test('rejects a publication that is based on an older version', async () => {
  const { publish } = create();
  (await publish('one')).unwrap();
  (await publish('two')).unwrap();
  const late = await publish('late', { baseVersion: 1 });
  assert.is(late.isErr() && late.error.kind, 'conflict');
});

test('finds its own record in the stream after the reply to the append was lost', async () => {
  const { logService, publish } = create();
  logService.fault = 'answer-lost';
  assert.is((await publish('one')).unwrap(), 1);
  assert.is(logService.appendCount, 1);
});

test('appends again after an outage and publishes one version', async () => {
  const { clock, logService, publish, current } = create();
  const append = logService.append.bind(logService);
  let tries = 0;
  logService.append = async (...parameters) => {
    tries += 1;
    logService.fault = tries === 1 ? 'outage' : 'none';
    const answer = await append(...parameters);
    logService.fault = 'none';
    return answer;
  };
  const published = publish('one');
  await clock.advance(2_000);
  assert.is((await published).unwrap(), 1);
  assert.is(tries, 2);
  assert.is(await current(), 'one');
});

test('returns an unknown outcome if the append may still take effect', async () => {
  const { clock, logService, stop, publish } = create();
  const append = logService.append.bind(logService);
  logService.append = (...parameters) => {
    logService.fault = 'outage';
    return append(...parameters);
  };
  const published = publish('one');
  await clock.advance(1_000);
  stop.abort();
  await clock.advance(1_000);
  const answer = await published;
  assert.is(answer.isErr() && answer.error.kind, 'outcome-unknown');
});

test('publishes nothing if the history is lost, except as a reset', async () => {
  const { logService, publish, current } = create();
  logService.retainedRecords = 1;
  const record = createRecord(8);
  const entries = [1, 2].map((i) => ({
    kind: 'publication',
    record: { ...record, publicationId: `${i}` },
  }));
  await logService.append(configurationStream, entries, new AbortController().signal);
  const lost = await publish('lost');
  assert.is(lost.isErr() && lost.error.kind, 'history-lost');
  assert.is((await publish('anew', { reset: true, baseVersion: 8 })).unwrap(), 9);
  assert.is(await current(), 'anew');
});

test.run();
