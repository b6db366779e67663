/**
 * Thread with endpoints that end every task after a short time; as lean as `node:http` allows, so
 * that they are not what limits the daemon.
 */
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { parentPort, workerData } from 'node:worker_threads';
import { taskRequestSchema } from '../../src/adapters/endpointHttp/endpointMessages.js';
import { endpointsOrderSchema } from './messages.js';
import type { EndpointsReady } from './messages.js';

const host = '127.0.0.1';
const order = endpointsOrderSchema.parse(workerData);

const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) {
    chunks.push(chunk);
  }
  const task = taskRequestSchema.parse(JSON.parse(Buffer.concat(chunks).toString('utf8')));
  const { incarnation, taskId, attempt, input } = task;
  const reply = JSON.stringify({ kind: 'done', incarnation, taskId, attempt, result: input });
  setTimeout(() => {
    response.writeHead(200, { 'content-type': 'application/json', 'content-length': reply.length });
    response.end(reply);
  }, order.runTimeMs);
};

const startEndpoint = async (): Promise<string> => {
  const server = createServer((request, response) => void serve(request, response));
  server.listen(0, host);
  await once(server, 'listening');
  const address = server.address();
  return typeof address === 'object' ? `${host}:${address?.port ?? 0}` : host;
};

const addresses = await Promise.all(Array.from({ length: order.count }, startEndpoint));
parentPort?.postMessage({ addresses } satisfies EndpointsReady);
