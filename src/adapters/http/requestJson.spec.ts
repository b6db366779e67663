import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { Pool } from 'undici';
import type { Dispatcher } from 'undici';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { requestBytes } from './requestJson.js';

const request = { method: 'POST', path: '/', body: {}, maxBytes: 1_000, timeoutMs: 500 } as const;

/** Fails each request with the code of a connection error, after its first byte was written. */
class FailingPool extends Pool {
  constructor(private readonly code: string) {
    super('http://127.0.0.1:1');
  }

  override dispatch(_: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
    const controller = {
      abort: () => undefined,
      pause: () => undefined,
      resume: () => undefined,
    } as unknown as Dispatcher.DispatchController;
    handler.onRequestStart?.(controller, {});
    handler.onResponseError?.(controller, Object.assign(new Error(), { code: this.code }));
    return true;
  }
}

// Guards against a second start of a task after a connection on which its start was written has failed.
test('a request that was begun counts as sent, whatever error ends it', async () => {
  for (const code of ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ECONNRESET']) {
    const pool = new FailingPool(code);
    assert.is((await requestBytes(pool, request)).kind, 'broken', code);
    await pool.destroy();
  }
});

// Guards against a timeout or an invalid answer being taken for a connection that the other side has closed.
test('a broken request says whether the connection was lost', async () => {
  const causes: string[] = [];
  const answers: ((socket: Socket) => void)[] = [
    (socket) => socket.resetAndDestroy(),
    (socket) => socket.end(),
    () => undefined,
    (socket) => socket.end('no HTTP'),
  ];
  for (const answer of answers) {
    const server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => answer(socket));
    }).listen(0, '127.0.0.1');
    await new Promise((resolve) => server.once('listening', resolve));
    const { port } = server.address() as AddressInfo;
    const pool = new Pool(`http://127.0.0.1:${port}`);
    const exchange = await requestBytes(pool, { ...request, timeoutMs: 100 });
    causes.push(exchange.kind === 'broken' ? exchange.cause : exchange.kind);
    await pool.destroy();
    server.close();
  }
  assert.equal(causes, ['connection-lost', 'connection-lost', 'given-up', 'invalid-response']);
});

test('a request whose connection is refused counts as not sent', async () => {
  const server = createServer().listen(0, '127.0.0.1');
  await new Promise((resolve) => server.once('listening', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  const pool = new Pool(`http://127.0.0.1:${port}`);
  assert.is((await requestBytes(pool, request)).kind, 'not-sent');
  await pool.destroy();
});

test.run();
