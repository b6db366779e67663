import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FakeClock } from '../testing/fakeClock.js';
import { recordingLogger } from '../testing/recordingLogger.js';
import { completeClientLimits } from './clientLimits.js';
import { LimitReports } from './limitReports.js';
import { RequestLedger } from './requestLedger.js';
import type { GivingWay, RequestEntry } from './requestLedger.js';

const maxBodyBytes = 262_144;
const ordinaryBodyBytes = 1_024;
const smallLimits = completeClientLimits(
  { unfinishedBodyBytes: 524_288, openRequestBytes: 1_048_576, unreadResponseBytes: 65_536 },
  210,
);

interface Opened {
  readonly entry: RequestEntry;
  readonly ends: GivingWay[];
}

const open = (ledger: RequestLedger, connection: object = {}): Opened => {
  const ends: GivingWay[] = [];
  const entry = ledger.open(connection, (how) => ends.push(how));
  assert.ok(entry);
  return { entry, ends };
};

// Guards against defaults that conforming clients reach: one request at a time on each of 3,000 connections.
test('the defaults leave room for an ordinary request on every connection, in each phase', () => {
  const limits = completeClientLimits({}, 210);
  const ledger = RequestLedger.create(limits, FakeClock.create());
  const opened = Array.from({ length: limits.connections }, () => open(ledger));
  opened.forEach(({ entry }) => entry.holdBody(ordinaryBodyBytes));
  const served = opened.map(({ entry }) => entry.serve(ordinaryBodyBytes));
  assert.ok(served.every(({ kind }) => kind === 'serve'));
  opened.forEach(({ entry }) => entry.respond(300));
  assert.ok(opened.every(({ ends }) => ends.length === 0));
  opened.forEach(({ entry }) => entry.close());
  assert.is(ledger.heldBytes, 0);
});

// Guards against unfinished bodies that keep ordinary clients out, and against limits that the largest body exceeds.
test('the oldest unfinished bodies give way to newer ones, and a single largest body is served', () => {
  const ledger = RequestLedger.create(smallLimits, FakeClock.create());
  const stuck = Array.from({ length: 40 }, () => open(ledger));
  stuck.forEach(({ entry }) => entry.holdBody(16_384));
  const largest = open(ledger);
  largest.entry.holdBody(maxBodyBytes);
  assert.equal(largest.entry.serve(maxBodyBytes), { kind: 'serve' });
  assert.equal(largest.ends, []);
  assert.equal(stuck[0]?.ends, [{ kind: 'refuse', limit: 'unfinished-bodies' }]);
  assert.equal(stuck.at(-1)?.ends, []);
});

// Guards against clients that pipeline and leave no room for those that send one request at a time.
test('pipelined requests fill half of the room for served requests, and too many close their connection', () => {
  const ledger = RequestLedger.create(smallLimits, FakeClock.create());
  const crowd = Array.from({ length: 20 }, () => ({}));
  const decisions = crowd.flatMap((connection) =>
    [1, 2, 3].map(() => open(ledger, connection).entry.serve(ordinaryBodyBytes)),
  );
  assert.equal(decisions.at(-1), { kind: 'refuse', limit: 'open-requests' });
  assert.equal(open(ledger).entry.serve(ordinaryBodyBytes), { kind: 'serve' });
  const [connection = {}] = crowd;
  for (let count = 3; count < smallLimits.requestsPerConnection; count += 1) {
    open(ledger, connection);
  }
  assert.is(
    ledger.open(connection, () => undefined),
    undefined,
  );
});

// Guards against requests that are refused at once, so that thousands of them are never open at the same time.
test('a connection has as many requests in a turn of the event loop as it may have open', async () => {
  const clock = FakeClock.create();
  const ledger = RequestLedger.create(smallLimits, clock);
  const connection = {};
  const openAndClose = (): boolean => {
    const entry = ledger.open(connection, () => undefined);
    entry?.close();
    return entry !== undefined;
  };
  for (let turn = 0; turn < 2; turn += 1) {
    const opened = Array.from({ length: smallLimits.requestsPerConnection + 2 }, openAndClose);
    assert.is(opened.filter(Boolean).length, smallLimits.requestsPerConnection);
    await clock.advance(1);
  }
});

// Guards against bodies within their limit in bytes that come in very many chunks, and against refusing ordinary ones for them.
test('chunks beyond the first ones of each body are limited in all, for each second', async () => {
  const clock = FakeClock.create();
  const limits = { ...smallLimits, bodyChunksPerS: 1_000 };
  const ledger = RequestLedger.create(limits, clock);
  const readBody = (chunks: number): GivingWay[] => {
    const { entry, ends } = open(ledger);
    for (let chunk = 0; chunk < chunks && ends.length === 0; chunk += 1) {
      entry.countChunk();
    }
    return ends;
  };
  const refusal: GivingWay = { kind: 'refuse', limit: 'body-chunks' };
  assert.equal(readBody(1_500), []);
  assert.equal(readBody(1_500), [refusal]);
  assert.equal(readBody(512), []);
  await clock.advance(1_000);
  assert.equal(readBody(1_500), []);
});

// Guards against responses that are kept for as long as their clients do not read them.
test('the responses that wait longest give way, and a request that is over gives back its room once', () => {
  const ledger = RequestLedger.create(smallLimits, FakeClock.create());
  const waiting = Array.from({ length: 20 }, () => open(ledger));
  waiting.forEach(({ entry }) => entry.respond(400));
  assert.equal(waiting[0]?.ends, [{ kind: 'disconnect', limit: 'unread-responses' }]);
  assert.equal(waiting.at(-1)?.ends, []);
  for (const { entry } of waiting) {
    entry.close();
    entry.close();
    // As a job that ends after its client has left.
    entry.respond(400);
  }
  assert.is(ledger.heldBytes, 0);
});

// Guards against a log line for each request of a crowd.
test('each limit is logged at most once in a second, with how often it was reached', async () => {
  const clock = FakeClock.create();
  const { logger, lines } = recordingLogger();
  let counted = 0;
  const metrics = {
    count: (): void => void (counted += 1),
    gauge: (): void => undefined,
    durationMs: (): void => undefined,
  };
  const reports = LimitReports.create({ clock, logger, metrics });
  for (let count = 0; count < 1_000; count += 1) {
    reports.record('open-requests', 'refused');
  }
  await clock.advance(1_000);
  await clock.advance(2_000);
  reports.record('open-requests', 'refused');
  assert.is(counted, 1_001);
  const line = 'warn callers: Clients have reached a limit on their memory. open-requests refused';
  assert.equal(lines, [`${line} 1`, `${line} 999`, `${line} 1`]);
});

test.run();
