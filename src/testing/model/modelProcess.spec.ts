import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FakeClock } from '../fakeClock.js';
import { ModelProcess } from './modelProcess.js';

// Guards against a suspended VM whose timers fire as if the monotonic clock had gone on.
test('on a suspended VM, the monotonic clock and the timers stop, and the other clocks go on', async () => {
  const time = FakeClock.create();
  const process = ModelProcess.create('daemon', time);
  const { clock } = process;
  const wallAtBeginMs = clock.wallMs();
  let firedAtMs: number | undefined;
  void clock.sleep(300).then(() => (firedAtMs = clock.bootMs()));
  await time.advance(100);
  process.suspend();
  await time.advance(1_000);
  await process.thaw();
  assert.is(clock.nowMs(), 100);
  assert.is(clock.bootMs(), 1_100);
  assert.is(clock.wallMs() - wallAtBeginMs, 1_100);
  assert.is(firedAtMs, undefined);
  await time.advance(200);
  assert.is(firedAtMs, 1_300);
});

// Guards against a frozen process whose overdue timers wait once more.
test('in a frozen process, all clocks go on, and overdue timers fire when it is thawed', async () => {
  const time = FakeClock.create();
  const process = ModelProcess.create('daemon', time);
  let firedAtMs: number | undefined;
  void process.clock.sleep(300).then(() => (firedAtMs = process.clock.nowMs()));
  process.freeze();
  await time.advance(1_000);
  assert.is(firedAtMs, undefined);
  await process.thaw();
  assert.is(firedAtMs, 1_000);
});

const turnMs = 200;

/** Logs what a slow process does, with the time from the begin of its first turn. */
const createSlow = async (): Promise<{
  readonly time: FakeClock;
  readonly process: ModelProcess;
  readonly log: string[];
  readonly note: (what: string) => () => void;
}> => {
  const time = FakeClock.create();
  const process = ModelProcess.create('daemon', time);
  const log: string[] = [];
  await process.slowDown([turnMs]);
  return { time, process, log, note: (what) => () => log.push(`${what} ${time.nowMs()}`) };
};

// Guards against a slow process that handles in one turn what comes after the turn has begun.
test('in each turn of a slow process, due timers come first, then the messages that had arrived', async () => {
  const { time, process, log, note } = await createSlow();
  void process.clock.sleep(30).then(note('timer'));
  await time.advance(50);
  process.receive(note('first'));
  process.receive(note('second'));
  await time.advance(100);
  process.receive(note('late'));
  await time.advance(400);
  assert.equal(log, ['first 100', 'second 150', 'timer 200', 'late 300']);
});

// Guards against a slow process whose messages leave before the step that sends them is over.
test('what a slow process sends leaves at the end of the step', async () => {
  const { time, process, note, log } = await createSlow();
  process.receive(() => void process.departure.then(note('one')));
  process.receive(() => void process.departure.then(note('two')));
  await time.advance(turnMs);
  assert.equal(log, ['one 150', 'two 200']);
});

// Guards against requests that overtake the connections before them, and against ends that overtake their requests.
test('a slow process accepts one connection in each turn, and reads it in the next one', async () => {
  const { time, process, log, note } = await createSlow();
  process.accept(note('one')).then(note('one read'), assert.unreachable);
  void process.accept(note('two'));
  process.receive(note('message'));
  await time.advance(3 * turnMs);
  assert.equal(log, ['message 100', 'one 300', 'one read 300', 'two 500']);
});

// Guards against a slow process whose turns all have the same length.
test('the turns of a slow process take their lengths one after the other', async () => {
  const { time, process, log, note } = await createSlow();
  await process.slowDown([100, 500]);
  for (let sent = 0; sent < 5; sent += 1) {
    process.receive(note(`message ${sent}`));
    await time.advance(250);
  }
  assert.equal(log, [
    'message 0 50',
    'message 1 350',
    'message 2 650',
    'message 3 950',
    'message 4 1250',
  ]);
});

// Guards against a slow process that keeps back what waits when it is fast again.
test('when a slow process is fast again, it handles all that waits', async () => {
  const { time, process, log, note } = await createSlow();
  await time.advance(120);
  void process.accept(note('request'));
  process.receive(note('message'));
  await process.speedUp();
  process.receive(note('next'));
  await time.advance(turnMs);
  assert.equal(log, ['message 120', 'request 120', 'next 120']);
});

// Guards against a request that is never read since its process became fast in the turn that accepted the connection.
test('a connection that is accepted as the process becomes fast again is read', async () => {
  const { time, process, log, note } = await createSlow();
  void process.accept(note('request'));
  await time.advance(150);
  await process.speedUp();
  await time.advance(turnMs);
  assert.equal(log, ['request 150']);
});

// Guards against a process that takes a turn for over before it has read what waited.
test('in a slow process, the next turn is over after a poll that began later, and takes a step', async () => {
  const { time, process, log, note } = await createSlow();
  await time.advance(120);
  void process.clock.nextTurn().then(note('over'));
  process.receive(note('message'));
  await time.advance(2 * turnMs);
  assert.equal(log, ['message 300', 'over 375']);
});

// Guards against a slow process that is fast after a freeze, or whose turns of before go on beside the new ones.
test('a slow process that was frozen is slow when it is thawed', async () => {
  const { time, process, log, note } = await createSlow();
  process.freeze();
  process.receive(note('frozen'));
  await time.advance(50);
  await process.thaw();
  assert.equal(log, []);
  await time.advance(turnMs);
  assert.equal(log, ['frozen 150']);
  process.receive(note('one'));
  process.receive(note('two'));
  await time.advance(2 * turnMs);
  assert.equal(log.slice(1), ['one 350', 'two 400']);
});

test.run();
