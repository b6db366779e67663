import { connect } from 'node:net';
import type { Server, Socket } from 'node:net';
import { once } from 'node:events';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createDeferred } from '../../utils/deferred.js';
import { HttpServer } from './httpServer.js';
import type { RequestHandler } from './httpServer.js';

const answer: RequestHandler = async (_request, response) => void response.end('ok');

const createServer = (handle: RequestHandler = answer, maxConnections = 10): Promise<HttpServer> =>
  HttpServer.create({ host: '127.0.0.1', port: 0, maxConnections, handle });

const openConnection = async (server: HttpServer): Promise<Socket> => {
  const socket = connect(Number(server.address.split(':')[1]), '127.0.0.1');
  socket.setEncoding('utf8');
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  return socket;
};

const request = 'GET / HTTP/1.1\r\nhost: x\r\n\r\n';

/** Reads the next chunk of the response; an empty string if the connection is closed first. */
const readChunk = async (socket: Socket): Promise<string> => {
  const disconnected = once(socket, 'close').then(() => ['']);
  const [text = ''] = (await Promise.race([once(socket, 'data'), disconnected])) as string[];
  return text;
};

test('answers a request that arrives on an idle connection after close was called', async () => {
  const server = await createServer();
  const socket = await openConnection(server);
  socket.write(request);
  assert.match(await readChunk(socket), 'keep-alive');
  const closed = server.close();
  socket.write(request);
  const last = await readChunk(socket);
  assert.match(last, '200 OK');
  assert.match(last.toLowerCase(), 'connection: close');
  await closed;
});

test('answers a request that is in progress when close is called', async () => {
  const gate = createDeferred<undefined>();
  const started = createDeferred<undefined>();
  const server = await createServer(async (_request, response) => {
    started.resolve(undefined);
    await gate.promise;
    response.end('late');
  });
  const socket = await openConnection(server);
  socket.write(request);
  await started.promise;
  const closed = server.close();
  gate.resolve(undefined);
  assert.match(await readChunk(socket), 'late');
  await closed;
});

test('refuses connections beyond the maximum', async () => {
  const server = await createServer(answer, 1);
  const first = await openConnection(server);
  const second = connect(Number(server.address.split(':')[1]), '127.0.0.1');
  second.on('error', () => undefined);
  await once(second, 'close');
  first.write(request);
  assert.match(await readChunk(first), '200 OK');
  await server.kill();
});

test('refuses headers that are too large', async () => {
  const server = await createServer();
  const socket = await openConnection(server);
  socket.write(`GET / HTTP/1.1\r\nhost: x\r\nx: ${'a'.repeat(20_000)}\r\n\r\n`);
  assert.match(await readChunk(socket), '431');
  await server.kill();
});

test('drops only the connection of a request whose handler rejects', async () => {
  let calls = 0;
  const server = await createServer(async (_request, response) => {
    calls += 1;
    if (calls === 1) {
      throw new Error('The handler failed.');
    }
    response.end('ok');
  });
  const first = await openConnection(server);
  first.write(request);
  assert.is(await readChunk(first), '');
  const second = await openConnection(server);
  second.write(request);
  assert.match(await readChunk(second), '200 OK');
  await server.kill();
});

// Guards against a process that ends when the system refuses it a connection, such as for want of memory.
test('errors of the listening socket are reported, and the server goes on', async () => {
  const reasons: string[] = [];
  const server = await HttpServer.create({
    host: '127.0.0.1',
    port: 0,
    maxConnections: 10,
    handle: async (_request, response) => void response.end('ok'),
    onError: (reason) => reasons.push(reason),
  });
  const { server: listening } = server as unknown as { readonly server: Server };
  listening.emit('error', new Error('accept ENOBUFS'));
  listening.emit('error', new Error('accept ENOMEM'));
  assert.equal(reasons, ['Error: accept ENOBUFS', 'Error: accept ENOMEM']);
  const response = await fetch(`http://${server.address}/`);
  assert.is(await response.text(), 'ok');
  await server.kill();
});

// Guards against requests that Node.js answers by itself, thousands in one read of a connection, whatever the limits are.
test('a request that HTTP/1.1 does not allow is rejected, and is the last on its connection', async () => {
  const heads = [
    ['GET / HTTP/1.1\r\n\r\n', '400'],
    ['POST / HTTP/1.1\r\nhost: x\r\nexpect: banana\r\ncontent-length: 1\r\n\r\nx', '417'],
  ] as const;
  for (const [head, status] of heads) {
    let calls = 0;
    const server = await createServer(async (_request, response) => {
      calls += 1;
      response.end('ok');
    });
    const socket = await openConnection(server);
    let received = '';
    socket.on('data', (text: string) => (received += text));
    socket.write(request + head.repeat(100) + request);
    await once(socket, 'close');
    const statuses = [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, found]) => found);
    assert.equal(statuses, ['200', status]);
    assert.is(calls, 1);
    await server.kill();
  }
});

// Guards against a parser that is handed on to another connection while it still drops the bodies of the one before.
test('a body is read on a connection that comes after one whose parser was stopped', async () => {
  const bodies: string[] = [];
  const server = await createServer(async (incoming, response) => {
    const chunks = await incoming.toArray();
    bodies.push(Buffer.concat(chunks as Buffer[]).toString());
    response.end('ok');
  });
  const post = 'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nhi';
  const stopped = 'GET / HTTP/1.1\r\n\r\n';
  const connectHead = 'CONNECT x:1 HTTP/1.1\r\nhost: x\r\n\r\n';
  for (const text of [stopped, stopped + post, stopped + connectHead]) {
    const sockets = await Promise.all([1, 2, 3].map(() => openConnection(server)));
    sockets.forEach((socket) => socket.write(text));
    const [next] = await Promise.all([
      openConnection(server),
      ...sockets.map((socket) => once(socket.resume(), 'close')),
    ]);
    next.write(post);
    assert.match(await readChunk(next), '200 OK');
  }
  assert.equal(bodies, ['hi', 'hi', 'hi']);
  await server.kill();
});

test.run();
