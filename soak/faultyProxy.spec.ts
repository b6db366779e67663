import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FaultyProxy } from './faultyProxy.js';

/** @returns what a new connection to the proxy ends with: `echo` or the code of an error */
const exchange = (proxy: FaultyProxy): Promise<string> =>
  new Promise((resolve) => {
    const [host, port] = proxy.address.split(':');
    const socket = connect({ host, port: Number(port) }, () => socket.write('echo'));
    socket.once('data', (data: Buffer) => {
      resolve(data.toString('utf8'));
      socket.destroy();
    });
    socket.once('error', ({ code }: NodeJS.ErrnoException) => resolve(code ?? ''));
  });

// Guards against faults that look alike to the daemons, and against a proxy that stays cut.
test('a proxy resets or refuses connections, and serves at its address again', async () => {
  const target = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.pipe(socket);
  });
  await new Promise<void>((resolve) => target.listen(0, '127.0.0.1', resolve));
  const { port } = target.address() as AddressInfo;
  const proxy = await FaultyProxy.create('127.0.0.1', () => `127.0.0.1:${port}`);
  assert.is(await exchange(proxy), 'echo');
  proxy.setFault({ kind: 'refused' });
  assert.is(await exchange(proxy), 'ECONNREFUSED');
  proxy.setFault({ kind: 'resetting' });
  assert.is(await exchange(proxy), 'ECONNRESET');
  proxy.setFault({ kind: 'none' });
  assert.is(await exchange(proxy), 'echo');
  await proxy.close();
  await new Promise((resolve) => target.close(resolve));
});

/** Lateness of what a client sends, and how much later it may arrive than that, in milliseconds. */
const delayMs = 400;
const toleranceMs = 200;

/** What a target receives on one connection, each with its time. */
interface Received {
  readonly text: string;
  readonly atMs: number;
}

/** Starts a target that records the bytes that it receives, and `end` or `close`; it answers with `ok`. */
const startRecorder = async (
  received: Received[],
): Promise<{ readonly server: Server; readonly address: string }> => {
  const record = (text: string): void => void received.push({ text, atMs: performance.now() });
  const server = createServer((socket) => {
    record('open');
    socket.on('error', () => undefined);
    socket.on('data', (data: Buffer) => {
      record(data.toString('utf8'));
      socket.write('ok');
    });
    socket.once('end', () => record('end'));
    socket.once('close', () => record('close'));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  return { server, address: `127.0.0.1:${port}` };
};

const open = (proxy: FaultyProxy): Promise<Socket> =>
  new Promise((resolve) => {
    const [host, port] = proxy.address.split(':');
    const socket = connect({ host, port: Number(port) }, () => resolve(socket));
  });

// Guards against a soak whose callers are always heard at once, so that a request and its caller's end never come late.
test('what a client sends comes late, also its end, in order and each by the same time', async () => {
  const received: Received[] = [];
  const { server, address } = await startRecorder(received);
  const proxy = await FaultyProxy.create('127.0.0.1', () => address);
  proxy.setFault({ kind: 'late-requests', delayMs });
  const openedAtMs = performance.now();
  const client = await open(proxy);
  client.write('first');
  await sleep(delayMs / 2);
  const secondAtMs = performance.now();
  client.write('second');
  await sleep(delayMs / 4);
  const endAtMs = performance.now();
  client.destroy();
  await sleep(2 * delayMs);
  const sentAtMs = [openedAtMs, openedAtMs, secondAtMs, endAtMs];
  assert.equal(
    received.slice(0, 4).map(({ text }) => text),
    ['open', 'first', 'second', 'end'],
  );
  sentAtMs.forEach((atMs, index) => {
    const latenessMs = (received[index]?.atMs ?? 0) - atMs;
    assert.ok(latenessMs > delayMs - 2, `${index}: ${latenessMs} ms`);
    assert.ok(latenessMs < delayMs + toleranceMs, `${index}: ${latenessMs} ms`);
  });
  await proxy.close();
  await new Promise((resolve) => server.close(resolve));
});

// Guards against a soak in which every daemon hears that its caller has left.
test('the end of a connection is lost for good, and what was sent before it is not', async () => {
  const received: Received[] = [];
  const { server, address } = await startRecorder(received);
  const proxy = await FaultyProxy.create('127.0.0.1', () => address);
  const clients = [await open(proxy), await open(proxy)];
  proxy.setFault({ kind: 'lost-ends' });
  clients.forEach((client) => client.write('request'));
  await sleep(50);
  clients[0]?.destroy();
  clients[1]?.resetAndDestroy();
  await sleep(50);
  proxy.setFault({ kind: 'none' });
  await sleep(50);
  const texts = received.map(({ text }) => text);
  assert.equal(texts, ['open', 'open', 'request', 'request']);
  const later = await open(proxy);
  later.destroy();
  await sleep(50);
  assert.ok(received.some(({ text }) => text === 'end'));
  await proxy.close();
  await new Promise((resolve) => server.close(resolve));
});

/** More steps than the proxy takes from the end of a fault until it passes on what was blocked. */
const microtasks = 50;

// Guards against a soak that never exits: Node.js loses a connection that is reset in the turn in which it ends.
test('a connection that is reset while it ends is closed', async () => {
  const sockets: Socket[] = [];
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on('error', () => undefined);
    socket.resume();
    sockets.push(socket);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const proxy = await FaultyProxy.create('127.0.0.1', () => `127.0.0.1:${port}`);
  const client = await open(proxy);
  client.on('error', () => undefined);
  await sleep(50);
  proxy.setFault({ kind: 'cut-requests' });
  client.end();
  await sleep(50);
  proxy.setFault({ kind: 'none' });
  for (let count = 0; count < microtasks; count += 1) {
    await Promise.resolve();
  }
  proxy.resetConnections();
  // A closed connection answers the first write with a reset, which the second one notices.
  for (const text of ['first', 'second']) {
    await sleep(100);
    sockets.forEach((socket) => socket.write(text));
  }
  await sleep(100);
  const areClosed = sockets.map(({ closed }) => closed);
  assert.equal(areClosed, [true]);
  await proxy.close();
  await new Promise((resolve) => server.close(resolve));
});

test.run();
