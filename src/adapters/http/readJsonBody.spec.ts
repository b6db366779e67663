import { connect } from 'node:net';
import { once } from 'node:events';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { HttpServer } from './httpServer.js';
import { readJsonBody } from './readJsonBody.js';
import { sendJson } from './sendJson.js';

const maxBytes = 10_000;

// Guards against bytes that are lost or garbled where the buffer grows, and characters that are split between chunks.
test('a body in chunks of any size is read as it was sent', async () => {
  const received: unknown[] = [];
  const heldBytes: number[] = [];
  const server = await HttpServer.create({
    ...{ host: '127.0.0.1', port: 0, maxConnections: 10 },
    handle: async (request, response) => {
      const body = await readJsonBody(request, maxBytes, undefined, {
        hold: (bytes) => void heldBytes.push(bytes),
        countChunk: () => undefined,
        end: () => undefined,
        onStop: () => undefined,
      });
      received.push(body.isOk() ? body.value : body.error.kind);
      sendJson(response, 200, {});
    },
  });
  const text = 'aé€😀'.repeat(700);
  const bytes = Buffer.from(JSON.stringify(text));
  for (const chunkBytes of [1, 7, 513, bytes.length]) {
    const client = connect(Number(server.address.split(':')[1]), '127.0.0.1');
    client.write('POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n');
    for (let from = 0; from < bytes.length; from += chunkBytes) {
      const chunk = bytes.subarray(from, from + chunkBytes);
      client.write(`${chunk.length.toString(16)}\r\n`);
      client.write(chunk);
      client.write('\r\n');
    }
    client.write('0\r\n\r\n');
    await once(client, 'data');
    client.destroy();
  }
  await server.kill();
  assert.equal(received, [text, text, text, text]);
  assert.ok(heldBytes.every((held) => held <= maxBytes));
});

test.run();
