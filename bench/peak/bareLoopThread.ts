/**
 * Thread that sends the same task requests by `undici` alone, without any decision: the limit.
 */
import { parentPort, workerData } from 'node:worker_threads';
import { Pool } from 'undici';
import { taskReplySchema } from '../../src/adapters/endpointHttp/endpointMessages.js';
import { readThreadCpuMs } from '../threadUsage.js';
import { bareLoopOrderSchema } from './messages.js';
import type { Carried } from './messages.js';

const order = bareLoopOrderSchema.parse(workerData);
const warmUpMs = 1_000;
let starts = 0;

const runLoop = async (pool: Pool, endsAtMs: number): Promise<void> => {
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

const runAll = async (durationMs: number): Promise<Carried> => {
  const pools = order.addresses.map(
    (address) => new Pool(`http://${address}`, { connections: order.connectionsPerEndpoint }),
  );
  const startedAtMs = performance.now();
  const cpuBeforeMs = readThreadCpuMs();
  starts = 0;
  const loops = pools.flatMap((pool) =>
    Array.from({ length: order.connectionsPerEndpoint }, () =>
      runLoop(pool, startedAtMs + durationMs),
    ),
  );
  await Promise.all(loops);
  const elapsedMs = performance.now() - startedAtMs;
  const cpuMs = readThreadCpuMs() - cpuBeforeMs;
  await Promise.all(pools.map((pool) => pool.destroy()));
  return { starts, elapsedMs, cpuMs };
};

await runAll(warmUpMs);
parentPort?.postMessage(await runAll(order.durationMs));
