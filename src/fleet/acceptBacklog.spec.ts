import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { AcceptedConnection } from '../ports/jobs.js';
import type { LogContext, Logger } from '../ports/logger.js';
import { FakeClock } from '../testing/fakeClock.js';
import { ModelProcess } from '../testing/model/modelProcess.js';
import { SeededRandom } from '../testing/seededRandom.js';
import { silentLogger } from '../testing/silentLogger.js';
import { AcceptBacklog } from './acceptBacklog.js';
import { CallerContact } from './callerContact.js';
import { requesterCheckPeriodMs } from './requesterTimes.js';

/** When a request was sent, and how early it can have been, as its process knows. */
interface ReadRequest {
  readonly sentAtMs: number;
  readonly readAtMs: number;
  readonly earliestSentAtMs: number | undefined;
}

const createFixture = () => {
  const time = FakeClock.create();
  const process = ModelProcess.create('daemon', time);
  const lines: LogContext[] = [];
  const logger: Logger = { ...silentLogger, info: (_, context = {}) => void lines.push(context) };
  const backlog = AcceptBacklog.create(process.clock, logger);
  const contact = CallerContact.create(process.clock, backlog);
  const reads: ReadRequest[] = [];
  /** Sends a request on a new connection. */
  const send = (): void => {
    const sentAtMs = time.nowMs();
    let accepted: AcceptedConnection | undefined;
    const read = (): void => {
      const earliestSentAtMs = accepted?.earliestSentAtMs();
      reads.push({ sentAtMs, readAtMs: time.nowMs(), earliestSentAtMs });
    };
    void process.accept(read, () => (accepted = backlog.accept()));
  };
  /** Reads as the monitor of the requesters does. */
  const keepReading = async (): Promise<void> => {
    for (;;) {
      await process.clock.sleep(requesterCheckPeriodMs);
      await contact.read();
    }
  };
  return { time, process, lines, backlog, contact, reads, send, keepReading };
};

const turnMs = 200;

// Guards against requests that are taken for new, though they have waited behind other connections.
test('a request may have been sent since the last turn that accepted no connection', async () => {
  const { time, process, reads, send, lines } = createFixture();
  await process.slowDown([turnMs]);
  await time.advance(50);
  for (let count = 0; count < 5; count += 1) {
    send();
  }
  await time.advance(2_000);
  assert.is(reads.length, 5);
  assert.ok(
    reads.every(({ earliestSentAtMs = Infinity, sentAtMs }) => earliestSentAtMs <= sentAtMs),
    JSON.stringify(reads),
  );
  const [last] = reads.slice(-1);
  assert.ok((last?.readAtMs ?? 0) - (last?.earliestSentAtMs ?? Infinity) >= 4 * turnMs);
  assert.is(lines.length, 1, 'the chain is logged once');
  assert.is(lines[0]?.count, 5);
  assert.is(lines[0]?.durationMs, 4 * turnMs);
  assert.is(lines[0]?.longestTurnMs, turnMs);
});

test('when the queue of connections was empty, the next request counts as new', async () => {
  const { time, process, reads, send, lines } = createFixture();
  await process.slowDown([turnMs]);
  for (let count = 0; count < 3; count += 1) {
    send();
    await time.advance(4 * turnMs);
  }
  for (const { earliestSentAtMs = -Infinity, sentAtMs } of reads.slice(1)) {
    assert.ok(earliestSentAtMs <= sentAtMs, 'it is not taken for newer than it is');
  }
  await process.speedUp();
  await time.advance(1_000);
  assert.equal(lines, [], 'connections one by one are no chain');
});

// Guards against a request on an open connection whose wait is taken for that of a connection.
test('a request that comes after its connection was read has not waited with it', async () => {
  const { time, process, backlog } = createFixture();
  await process.slowDown([turnMs]);
  let accepted: AcceptedConnection | undefined;
  void process.accept(
    () => undefined,
    () => (accepted = backlog.accept()),
  );
  await time.advance(4 * turnMs);
  assert.is(accepted?.earliestSentAtMs(), undefined);
});

test('a process that reads its sockets in time takes no request for one that has waited', async () => {
  const { time, contact, reads, send, keepReading } = createFixture();
  void keepReading();
  for (let count = 0; count < 20; count += 1) {
    await time.advance(37);
    send();
    const { acceptWaitMs } = contact.waitOf(reads.at(-1)?.earliestSentAtMs);
    assert.is(acceptWaitMs, 0);
  }
});

// Guards against a suspension of the VM in which connections have waited, and which the monotonic clock omits.
test('a suspension counts as time in which connections may have waited', async () => {
  const { time, backlog } = createFixture();
  await time.advance(10);
  backlog.recordSuspension(2_000);
  assert.is(backlog.accept().earliestSentAtMs(), -2_000);
});

// Guards against any order of turns, connections and changes of the pace in which a request was sent before it could be.
test('no request was sent before the time at which it can have been, whatever the turns', async () => {
  for (let seed = 1; seed <= 60; seed += 1) {
    const random = SeededRandom.create(seed);
    const { time, process, reads, send, keepReading } = createFixture();
    void keepReading();
    let sent = 0;
    for (let step = 0; step < 40; step += 1) {
      const choice = random.next();
      if (choice < 0.15) {
        await process.slowDown([20 + 300 * random.next(), 20 + 300 * random.next()]);
      } else if (choice < 0.2) {
        await process.speedUp();
      } else if (choice < 0.25) {
        process.freeze();
        await time.advance(900 * random.next());
        await process.thaw();
      } else {
        send();
        sent += 1;
      }
      await time.advance(250 * random.next() ** 2);
    }
    await process.speedUp();
    await time.advance(1_000);
    assert.is(reads.length, sent, `seed ${seed}`);
    for (const one of reads) {
      assert.ok(
        (one.earliestSentAtMs ?? -Infinity) <= one.sentAtMs,
        `seed ${seed}: ${JSON.stringify(one)}`,
      );
      assert.not.equal(one.earliestSentAtMs, undefined, `seed ${seed}: ${JSON.stringify(one)}`);
    }
  }
});

test.run();
