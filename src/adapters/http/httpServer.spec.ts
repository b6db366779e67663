import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { once } from 'node:events';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createDeferred } from '../../utils/deferred.js';
import { HttpServer } from './httpServer.js';
import type { RequestHandler } from './httpServer.js';

const answer: RequestHandler = async (_request, response) => void response.end('ok');

const createServer = (handle: RequestHandler = answer, maxConnections = 10): Promise<HttpServer> =>
  HttpServer.create({ host: '127.0.0.1', port: 0, maxConnections, handle });

const open = async (server: HttpServer): Promise<Socket> => {
  const socket = connect(Number(server.address.split(':')[1]), '127.0.0.1');
  socket.setEncoding('utf8');
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  return socket;
};

const request = 'GET / HTTP/1.1\r\nhost: x\r\n\r\n';

/** Reads one part of the answer; an empty text if the connection was cut instead. */
const readOne = async (socket: Socket): Promise<string> => {
  const cut = once(socket, 'close').then(() => ['']);
  const [text = ''] = (await Promise.race([once(socket, 'data'), cut])) as string[];
  return text;
};

test('answers a request that arrives on an idle connection after the close began', async () => {
  const server = await createServer();
  const socket = await open(server);
  socket.write(request);
  assert.match(await readOne(socket), 'keep-alive');
  const closed = server.close();
  socket.write(request);
  const last = await readOne(socket);
  assert.match(last, '200 OK');
  assert.match(last.toLowerCase(), 'connection: close');
  await closed;
});

test('answers a request that is under way when the close begins', async () => {
  const gate = createDeferred<undefined>();
  const began = createDeferred<undefined>();
  const server = await createServer(async (_request, response) => {
    began.resolve(undefined);
    await gate.promise;
    response.end('late');
  });
  const socket = await open(server);
  socket.write(request);
  await began.promise;
  const closed = server.close();
  gate.resolve(undefined);
  assert.match(await readOne(socket), 'late');
  await closed;
});

test('refuses connections beyond its bound', async () => {
  const server = await createServer(answer, 1);
  const first = await open(server);
  const second = connect(Number(server.address.split(':')[1]), '127.0.0.1');
  second.on('error', () => undefined);
  await once(second, 'close');
  first.write(request);
  assert.match(await readOne(first), '200 OK');
  await server.kill();
});

test('refuses headers that are too large', async () => {
  const server = await createServer();
  const socket = await open(server);
  socket.write(`GET / HTTP/1.1\r\nhost: x\r\nx: ${'a'.repeat(20_000)}\r\n\r\n`);
  assert.match(await readOne(socket), '431');
  await server.kill();
});

test('cuts only the connection of a request whose handler rejects', async () => {
  let calls = 0;
  const server = await createServer(async (_request, response) => {
    calls += 1;
    if (calls === 1) {
      throw new Error('The handler failed.');
    }
    response.end('ok');
  });
  const first = await open(server);
  first.write(request);
  assert.is(await readOne(first), '');
  const second = await open(server);
  second.write(request);
  assert.match(await readOne(second), '200 OK');
  await server.kill();
});

test.run();
