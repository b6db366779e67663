import { Ok } from 'ts-results-es';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { handOver } from '../../submissions/handOver.js';
import { DaemonFixture } from '../../testing/daemonFixture.js';
import { createCaller, createSubmission } from '../../testing/fixtures.js';
import { silentLogger } from '../../testing/silentLogger.js';
import { SystemClock } from '../system/systemClock.js';
import { PeerRpcConnector } from './peerRpcClient.js';
import { PeerRpcServer } from './peerRpcServer.js';

const token = 'token-of-the-peers';
const counter = createCaller('counter');

/** Nests a number in arrays. Of the 32 levels of a caller's body, 29 remain for the input of a task. */
const nestArrays = (depth: number): unknown =>
  Array.from({ length: depth }).reduce<unknown>((inner) => [inner], 1);

const startPeer = async () => {
  const fixture = await DaemonFixture.create(['muenchen-vm1']);
  const service = fixture.daemon('muenchen-vm1');
  const host = '127.0.0.1';
  const server = await PeerRpcServer.create({
    host,
    port: 0,
    token,
    service,
    logger: silentLogger,
  });
  const link = PeerRpcConnector.create(token).connect(server.address);
  const close = async (): Promise<void> => {
    await link.close();
    await server.kill();
  };
  return { fixture, service, link, close };
};

test('forwards a submission with the deepest input that is allowed, and requests for its status', async () => {
  const { fixture, service, link, close } = await startPeer();
  const [incarnation = '', epoch = ''] = service.owner().split('.');
  const ref = {
    callerId: counter.callerId,
    key: `${service.owner()}~a`,
    owner: { incarnation, epoch: Number(epoch) },
  };
  const input = nestArrays(29);
  const submission = createSubmission('fit', [input]);
  const own = service.submit(counter, ref.key, Ok(submission));
  await fixture.clock.advance(1_000);
  const signal = AbortSignal.timeout(5_000);
  const body = { kind: 'valid' as const, submission };
  const outcome = await link.forward({ ...ref, body }, signal);
  assert.equal(outcome.unwrap(), await own);
  const answer = { status: 'complete', results: [input] };
  const known = { kind: 'known', status: { state: 'answered', answer } };
  assert.equal((await link.status({ ...ref, waitMs: 0 }, signal)).unwrap(), known);
  assert.equal((await link.cancel(ref, signal)).unwrap(), known);
  await close();
});

test('hands over a table, and reports the outcome of a record that is nested too deeply as unknown', async () => {
  const { fixture, service, link, close } = await startPeer();
  const own = service.daemonStatus().own;
  const reachable = [{ ...own, state: 'active' as const }];
  const peers = { reachablePeers: () => reachable, linkTo: () => link, onChange: () => undefined };
  const records = [nestArrays(29), nestArrays(200)].map((result, i) => ({
    epoch: 1,
    callerId: counter.callerId,
    key: `gone.1~${i}`,
    record: {
      state: 'answered' as const,
      digest: '',
      answer: { status: 'complete' as const, results: [result] },
    },
  }));
  const table = { incarnation: 'gone', oldestEpoch: 1, newestEpoch: 1, records };
  const options = { clock: SystemClock.create(), logger: silentLogger, peers };
  assert.is(await handOver([table], options), own.incarnation);
  const signal = AbortSignal.timeout(5_000);
  const inheritance = await link.fetchInheritance(signal);
  assert.equal(inheritance.unwrap().incarnations, ['gone']);
  const body = Ok(createSubmission('fit', [1]));
  const kept = await service.submit(counter, 'gone.1~0', body);
  const lost = await service.submit(counter, 'gone.1~1', body);
  assert.equal(kept, { kind: 'answered', answer: records[0]?.record.answer });
  assert.is(lost.kind === 'refused' && lost.problem.runState, 'outcome-unknown');
  assert.is(fixture.endpoints.starts.length, 0);
  await close();
});

test.run();
