import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FakeClock } from '../fakeClock.js';
import { ModelNetwork } from './modelNetwork.js';
import { ModelProcess } from './modelProcess.js';

/** Calls a worker across a cut in one direction. @returns how often it was carried out, and how it ended */
const callAcross = async (direction: 'out' | 'back') => {
  const time = FakeClock.create();
  const network = ModelNetwork.create(time);
  const caller = ModelProcess.create('daemon', time);
  network.setFault('daemon', 'worker', 'silent', direction);
  let carriedOut = 0;
  const result = network.call({
    ...{ caller, callee: 'worker', timeoutMs: 100, isListening: () => true },
    carryOut: async () => (carriedOut += 1),
  });
  await time.advance(200);
  return { carriedOut, kind: (await result).kind };
};

// Guards against one-way cuts that cut both ways, under which an order is never carried out unseen.
test('a cut in one direction loses the requests or the answers', async () => {
  assert.equal(await callAcross('out'), { carriedOut: 0, kind: 'no-answer' });
  assert.equal(await callAcross('back'), { carriedOut: 1, kind: 'no-answer' });
});

test.run();
