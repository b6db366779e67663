import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { Worker } from 'node:worker_threads';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { FleetService } from '../../ports/fleetPeers.js';
import { recordingLogger } from '../../testing/recordingLogger.js';
import { silentLogger } from '../../testing/silentLogger.js';
import type { FleetHeartbeat } from '../../types/fleet.js';
import { HttpServer } from '../http/httpServer.js';
import { sendJson } from '../http/sendJson.js';
import { readJsonBody } from '../http/readJsonBody.js';
import { WebSocket, WebSocketServer } from 'ws';
import { FleetRpcConnector } from './fleetRpcClient.js';
import { FleetRpcServer } from './fleetRpcServer.js';
import { fleetSocketPath } from './fleetRpcPath.js';

const heartbeat: FleetHeartbeat = {
  member: { incarnation: 'a', address: '127.0.0.1:1', failureDomainId: 'east', weight: 1 },
  routingVersion: 3,
  isLeaving: false,
  load: { workers: [] },
  askedBatchIds: [],
};

const service: FleetService = {
  beat: () => heartbeat,
  runBatch: () => Promise.reject(new Error('not served')),
  withdrawBatch: () => undefined,
  cancelJob: () => Promise.resolve({ wasFound: true }),
  awaitJob: () => Promise.resolve({ kind: 'none-runs' }),
  fetchRouting: () => null,
};

/** A peer in a thread of its own, which answers every call with the heartbeat, and tells its port. */
const answeringPeer = `
  const { parentPort, workerData } = require('node:worker_threads');
  const { WebSocketServer } = require('ws');
  const server = new WebSocketServer({ host: '127.0.0.1', port: 0 });
  server.on('connection', (socket) =>
    socket.on('message', (call) => {
      const { id } = JSON.parse(call.toString());
      socket.send(JSON.stringify({ jsonrpc: '2.0', id, result: workerData }));
    }),
  );
  server.once('listening', () => parentPort.postMessage(server.address().port));
`;

/** Keeps this thread from doing anything for a time, in milliseconds. */
const standStill = (durationMs: number): void => {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
};

const createServerAndLink = async () => {
  const server = await FleetRpcServer.create({
    host: '127.0.0.1',
    port: 0,
    service,
    logger: silentLogger,
  });
  const link = FleetRpcConnector.create().connect(server.address);
  return { server, link };
};

// Guards against callers of a killed daemon that wait as if it might be behind a cut.
test('a call to an address at which no process listens says so, and one that is broken does not', async () => {
  const { server, link } = await createServerAndLink();
  const question = { jobId: 'a', holder: 'a', hops: 0, waitMs: 0 };
  assert.equal((await link.awaitJob(question, 500)).unwrap(), { kind: 'none-runs' });
  await server.kill();
  const down = await link.awaitJob(question, 500);
  const again = await link.awaitJob(question, 500);
  assert.not(down.isErr() && down.error.kind === 'broken' && down.error.isNobodyThere);
  assert.ok(again.isErr() && again.error.isNobodyThere);
  await link.close();
});

test('calls share a connection, and a new one is opened after its end', async () => {
  const { server, link } = await createServerAndLink();
  const replies = await Promise.all([link.beat(heartbeat, 500), link.fetchRouting(500)]);
  assert.ok(replies.every((reply) => reply.isOk()));
  await server.kill();
  const down = await link.beat(heartbeat, 500);
  assert.ok(down.isErr());
  const again = await FleetRpcServer.create({
    host: '127.0.0.1',
    port: Number(server.address.split(':')[1]),
    service,
    logger: silentLogger,
  });
  assert.ok((await link.beat(heartbeat, 500)).isOk());
  await link.close();
  await again.kill();
});

test('a peer that accepts connections and is silent does not hold a call up', async () => {
  const sockets: Socket[] = [];
  const silent = createServer((socket) => sockets.push(socket));
  await new Promise<void>((resolve) => silent.listen(0, '127.0.0.1', resolve));
  const { port } = silent.address() as AddressInfo;
  const link = FleetRpcConnector.create().connect(`127.0.0.1:${port}`);
  const startedAtMs = performance.now();
  const reply = await link.beat(heartbeat, 100);
  assert.is(reply.isErr() && reply.error.kind, 'not-sent');
  assert.ok(performance.now() - startedAtMs < 500);
  await sleep(1_200);
  await link.beat(heartbeat, 100);
  assert.is(sockets.length, 2);
  await link.close();
  sockets.forEach((socket) => socket.destroy());
  silent.close();
});

test('a message that is no call ends its connection, not the server', async () => {
  const { server, link } = await createServerAndLink();
  for (const message of ['', '{', '[]', '{"jsonrpc":"2.0","id":1}', 'x'.repeat(100_000)]) {
    const socket = new WebSocket(`ws://${server.address}${fleetSocketPath}`);
    await new Promise((resolve) => socket.once('open', resolve));
    const closed = new Promise((resolve) => socket.once('close', resolve));
    socket.send(message);
    await closed;
  }
  const invalid = await link.beat({ ...heartbeat, askedBatchIds: [7 as unknown as string] }, 500);
  assert.ok(invalid.isErr());
  assert.is(invalid.isErr() && invalid.error.kind, 'refused');
  assert.ok((await link.beat(heartbeat, 500)).isOk());
  await link.close();
  await server.kill();
});

// Guards against an address that ends the process that connects to it.
test('a heartbeat with an address that cannot be connected to is refused', async () => {
  const { server, link } = await createServerAndLink();
  for (const address of ['1.2.3.4:99999', '1.2.3.4:0', 'host:1', '']) {
    const { member } = heartbeat;
    for (const odd of [
      { ...heartbeat, member: { ...member, address } },
      { ...heartbeat, heardMembers: [{ address, failureDomainId: 'east' }] },
    ]) {
      const reply = await link.beat(odd, 500);
      assert.is(reply.isErr() && reply.error.kind, 'refused', address);
    }
  }
  assert.ok((await link.beat(heartbeat, 500)).isOk());
  await link.close();
  await server.kill();
});

// Guards against an error of a daemon that its log does not explain.
test('an error in a call is logged with what was thrown', async () => {
  const { logger, lines } = recordingLogger();
  const failing: FleetService = {
    ...service,
    beat: () => {
      throw new Error('no such worker');
    },
  };
  const server = await FleetRpcServer.create({
    host: '127.0.0.1',
    port: 0,
    service: failing,
    logger,
  });
  const link = FleetRpcConnector.create().connect(server.address);
  assert.ok((await link.beat(heartbeat, 500)).isErr());
  assert.match(lines.join('\n'), /^error fleet: A call of a daemon failed here\..*no such worker/);
  await link.close();
  await server.kill();
});

test('an answer that is no JSON-RPC response ends its connection, not the process', async () => {
  for (const answer of [
    '[null]',
    '[]',
    'null',
    '7',
    '{',
    '{"id":1}',
    '{"jsonrpc":"2.0","id":{}}',
  ]) {
    const peer = new WebSocketServer({ host: '127.0.0.1', port: 0 });
    peer.on('connection', (socket) => socket.on('message', () => socket.send(answer)));
    await once(peer, 'listening');
    const { port } = peer.address() as AddressInfo;
    const link = FleetRpcConnector.create().connect(`127.0.0.1:${port}`);
    const reply = await link.beat(heartbeat, 200);
    assert.is(reply.isErr() && reply.error.kind, 'broken', answer);
    await link.close();
    peer.close();
  }
});

test('a call without an answer may have acted, whether it timed out or its connection broke', async () => {
  const peer = new WebSocketServer({ host: '127.0.0.1', port: 0 });
  let calls = 0;
  peer.on('connection', (socket) =>
    socket.on('message', () => {
      calls += 1;
      if (calls > 1) {
        socket.terminate();
      }
    }),
  );
  await once(peer, 'listening');
  const { port } = peer.address() as AddressInfo;
  const link = FleetRpcConnector.create().connect(`127.0.0.1:${port}`);
  for (let call = 0; call < 2; call += 1) {
    const reply = await link.beat(heartbeat, 100);
    assert.is(reply.isErr() && reply.error.kind, 'broken');
  }
  await link.close();
  peer.close();
});

// Guards against a cancellation, or another call, that counts as unanswered since the caller itself stood still.
test('an answer that arrives while the caller stands still is read before its call is given up', async () => {
  const peer = new Worker(answeringPeer, { eval: true, workerData: heartbeat });
  const [port] = (await once(peer, 'message')) as [number];
  const link = FleetRpcConnector.create().connect(`127.0.0.1:${port}`);
  const first = await link.beat(heartbeat, 1_000);
  const pending = link.beat(heartbeat, 100);
  standStill(700);
  const second = await pending;
  await link.close();
  await peer.terminate();
  assert.ok(first.isOk());
  assert.ok(second.isOk());
});

test('a daemon of an earlier version, which serves HTTP only, is called over HTTP', async () => {
  const earlier = await HttpServer.create({
    host: '127.0.0.1',
    port: 0,
    maxConnections: 10,
    handle: async (request, response) => {
      if (request.method !== 'POST') {
        sendJson(response, 404, {});
        return;
      }
      const { id } = (await readJsonBody(request, 10_000)).unwrap() as { id: number };
      sendJson(response, 200, { jsonrpc: '2.0', id, result: heartbeat });
    },
  });
  const link = FleetRpcConnector.create().connect(earlier.address);
  assert.ok((await link.beat(heartbeat, 500)).isOk());
  assert.ok((await link.beat(heartbeat, 500)).isOk());
  await link.close();
  await earlier.kill();
});

test.run();
