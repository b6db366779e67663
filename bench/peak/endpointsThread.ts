/**
 * Thread with endpoints that complete every task after a fixed run time. They use bare `node:http`, so
 * that they do not limit the throughput of the daemon.
 */
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { parentPort, workerData } from 'node:worker_threads';
import { taskRequestSchema } from '../../src/adapters/endpointHttp/endpointMessages.js';
import { endpointsThreadDataSchema } from './messages.js';
import type { EndpointsReady } from './messages.js';

const host = '127.0.0.1';
const threadData = endpointsThreadDataSchema.parse(workerData);

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
  }, threadData.runTimeMs);
};

const startEndpoint = async (): Promise<string> => {
  const server = createServer((request, response) => void serve(request, response));
  server.listen(0, host);
  await once(server, 'listening');
  const address = server.address();
  return typeof address === 'object' ? `${host}:${address?.port ?? 0}` : host;
};

const addresses = await Promise.all(Array.from({ length: threadData.count }, startEndpoint));
parentPort?.postMessage({ addresses } satisfies EndpointsReady);
