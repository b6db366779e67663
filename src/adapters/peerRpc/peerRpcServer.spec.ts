import * as fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DaemonFixture } from '../../testing/daemonFixture.js';
import { silentLogger } from '../../testing/silentLogger.js';
import { peerRpcPath } from './peerRpcPath.js';
import { PeerRpcConnector } from './peerRpcClient.js';
import { PeerRpcServer } from './peerRpcServer.js';

const seed = 20_261_204;
const token = 'token-of-the-peers';

const startPeer = async () => {
  const fixture = await DaemonFixture.create(['muenchen-vm1']);
  const service = fixture.daemon('muenchen-vm1');
  const logger = silentLogger;
  const server = await PeerRpcServer.create({
    host: '127.0.0.1',
    port: 0,
    token,
    service,
    logger,
  });
  return { service, server, url: `http://${server.address}` };
};

const post = (url: string, body: string, bearer = token): Promise<Response> =>
  fetch(url, { method: 'POST', headers: { authorization: `Bearer ${bearer}` }, body });

test('refuses a peer with a wrong token or another protocol version', async () => {
  const { server, url } = await startPeer();
  const call = JSON.stringify({ jsonrpc: '2.0', id: 1, method: 'fetchConfiguration', params: {} });
  assert.is((await post(`${url}${peerRpcPath}`, call, 'another-token')).status, 401);
  assert.is((await post(`${url}/peer/v0`, call)).status, 404);
  assert.is((await post(`${url}/peer/v999`, call)).status, 404);
  assert.is((await post(`${url}${peerRpcPath}`, call)).status, 200);
  await server.kill();
});

test('reports an invalid message to the peer and keeps serving', async () => {
  const { service, server } = await startPeer();
  const link = PeerRpcConnector.create(token).connect(server.address);
  const own = { ...service.daemonStatus().own, weight: -1 };
  const bad = await link.heartbeat(own, AbortSignal.timeout(5_000));
  assert.is(bad.isErr() && bad.error.kind, 'refused');
  const good = await link.fetchConfiguration(AbortSignal.timeout(5_000));
  assert.ok(good.isOk());
  await link.close();
  await server.kill();
});

test('survives any malformed message', async () => {
  const { server, url } = await startPeer();
  const methods = fc.constantFrom('heartbeat', 'forward', 'fetchConfiguration', 'none');
  const call = fc.record({
    jsonrpc: fc.constantFrom('2.0', '1.0'),
    id: fc.oneof(fc.integer(), fc.string(), fc.constant(null)),
    method: methods,
    params: fc.jsonValue(),
  });
  const bodies = fc.oneof(
    call.map((value) => JSON.stringify(value)),
    fc.array(call, { maxLength: 3 }).map((value) => JSON.stringify(value)),
    fc.json(),
    fc.string(),
  );
  const property = fc.asyncProperty(bodies, async (body) => {
    const response = await post(`${url}${peerRpcPath}`, body);
    const text = await response.text();
    assert.ok(response.status === 200 || response.status === 400, `${response.status}: ${text}`);
    assert.not.match(text, /node_modules|\.ts:/);
  });
  await fc.assert(property, { seed, numRuns: 150 });
  await server.kill();
});

test.run();
