/**
 * Thread that sends the same task requests with `undici` alone: the upper limit of the throughput.
 */
import { parentPort, workerData } from 'node:worker_threads';
import { Pool } from 'undici';
import { taskReplySchema } from '../../src/adapters/endpointHttp/endpointMessages.js';
import { readThreadCpuMs } from '../threadUsage.js';
import { bareLoopThreadDataSchema } from './messages.js';
import type { Throughput } from './messages.js';

const threadData = bareLoopThreadDataSchema.parse(workerData);
const warmUpMs = 1_000;
let starts = 0;

/** Sends requests one after the other until a time. */
const sendRequests = async (pool: Pool, endsAtMs: number): Promise<void> => {
  while (performance.now() < endsAtMs) {
    starts += 1;
    const task = {
      incarnation: '0123456789abcdef',
      taskId: `0123456789abcdef-${starts}`,
      attempt: 1,
      operation: 'fit',
      input: { number: starts },
      leaseMs: 5_000,
    };
    const { body } = await pool.request({
      method: 'POST',
      path: '/v1/tasks',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(task),
    });
    taskReplySchema.parse(JSON.parse(await body.text()));
  }
};

const measure = async (durationMs: number): Promise<Throughput> => {
  const pools = threadData.addresses.map(
    (address) => new Pool(`http://${address}`, { connections: threadData.connectionsPerEndpoint }),
  );
  const startedAtMs = performance.now();
  const cpuBeforeMs = readThreadCpuMs();
  starts = 0;
  const requestLoops = pools.flatMap((pool) =>
    Array.from({ length: threadData.connectionsPerEndpoint }, () =>
      sendRequests(pool, startedAtMs + durationMs),
    ),
  );
  await Promise.all(requestLoops);
  const elapsedMs = performance.now() - startedAtMs;
  const cpuMs = readThreadCpuMs() - cpuBeforeMs;
  await Promise.all(pools.map((pool) => pool.destroy()));
  return { starts, elapsedMs, cpuMs };
};

await measure(warmUpMs);
parentPort?.postMessage(await measure(threadData.durationMs));
