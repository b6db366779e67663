import { connect } from 'node:net';
import { once } from 'node:events';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { HttpServer } from './httpServer.js';
import { sendJson } from './sendJson.js';

// Guards against a client that keeps the process busy with a body which the response has made needless.
test('nothing more of a body is read once its request has its response', async () => {
  let chunks = 0;
  const server = await HttpServer.create({
    ...{ host: '127.0.0.1', port: 0, maxConnections: 10 },
    handle: async (request, response) => {
      request.on('data', () => (chunks += 1));
      sendJson(response, 404, {});
    },
  });
  const client = connect(Number(server.address.split(':')[1]), '127.0.0.1');
  client.on('error', () => undefined);
  const head = 'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n';
  client.write(head + '1\r\nx\r\n'.repeat(10_000));
  const [response] = (await once(client, 'data')) as [Buffer];
  await once(client, 'close');
  await server.kill();
  assert.ok(response.toString().startsWith('HTTP/1.1 404 '));
  assert.is(chunks, 0);
});

test.run();
