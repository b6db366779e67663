import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
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

test.run();
