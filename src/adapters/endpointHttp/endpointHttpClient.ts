/**
 * HTTP and JSON client of the endpoints, with one connection pool for each endpoint.
 */
import { Pool } from 'undici';
import { unreachable } from '../../errors/unreachable.js';
import type { Endpoint } from '../../types/inventory.js';
import type { Clock } from '../../ports/clock.js';
import type { EndpointPort, EndpointReply, TaskStart } from '../../ports/endpoints.js';
import { requestJson } from '../http/requestJson.js';
import { leaseReplySchema, taskReplySchema } from './endpointMessages.js';
import type { TaskReply } from './endpointMessages.js';

const maxReplyBytes = 4_194_304;
const connectTimeoutMs = 1_000;
const maxConnectionsPerEndpoint = 64;

export class EndpointHttpClient implements EndpointPort {
  private readonly pools = new Map<string, Pool>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): EndpointHttpClient {
    return new EndpointHttpClient(clock);
  }

  async run(endpoint: Endpoint, start: TaskStart, signal: AbortSignal): Promise<EndpointReply> {
    const sentAtMs = this.clock.nowMs();
    const exchange = await requestJson(this.pool(endpoint), {
      method: 'POST',
      path: '/v1/tasks',
      body: start,
      maxBytes: maxReplyBytes,
      signal,
    });
    switch (exchange.kind) {
      case 'answered':
        return toEndpointReply(exchange.body, start, this.clock.nowMs() - sentAtMs);
      case 'not-sent':
        return { kind: 'not-started', reason: 'unreachable' };
      case 'broken':
        return { kind: 'unknown', reason: 'no-answer' };
      default:
        return unreachable(exchange);
    }
  }

  async cancel(endpoint: Endpoint, taskIds: readonly string[], signal: AbortSignal): Promise<void> {
    await requestJson(this.pool(endpoint), {
      method: 'POST',
      path: '/v1/cancellations',
      body: { taskIds },
      maxBytes: maxReplyBytes,
      signal,
    });
  }

  async renew(endpoint: Endpoint, start: TaskStart, signal: AbortSignal): Promise<boolean> {
    const { incarnation, taskId, attempt, leaseMs } = start;
    const exchange = await requestJson(this.pool(endpoint), {
      method: 'POST',
      path: '/v1/leases',
      body: { incarnation, taskId, attempt, leaseMs },
      maxBytes: maxReplyBytes,
      signal,
    });
    const reply = leaseReplySchema.safeParse(exchange.kind === 'answered' ? exchange.body : null);
    return reply.success && reply.data.held;
  }

  async close(): Promise<void> {
    await Promise.all([...this.pools.values()].map((pool) => pool.destroy()));
  }

  private pool(endpoint: Endpoint): Pool {
    const existing = this.pools.get(endpoint.address);
    if (existing !== undefined) {
      return existing;
    }
    const pool = new Pool(`http://${endpoint.address}`, {
      connections: maxConnectionsPerEndpoint,
      connect: { timeout: connectTimeoutMs },
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.pools.set(endpoint.address, pool);
    return pool;
  }
}

/** Converts the body of a response. A reply to another attempt leaves the outcome of this one unknown. */
const toEndpointReply = (body: unknown, start: TaskStart, runTimeMs: number): EndpointReply => {
  const parsed = taskReplySchema.safeParse(body);
  if (!parsed.success || !isReplyTo(parsed.data, start)) {
    return { kind: 'unknown', reason: 'mismatch' };
  }
  const reply = parsed.data;
  switch (reply.kind) {
    case 'done':
      return { kind: 'done', result: reply.result, runTimeMs };
    case 'failed':
      return { kind: 'failed', fault: reply.fault, detail: reply.detail };
    case 'not-started':
      return { kind: 'not-started', reason: reply.reason };
    case 'lease-lapsed':
      return { kind: 'unknown', reason: 'lease-lapsed' };
    default:
      return unreachable(reply);
  }
};

const isReplyTo = (reply: TaskReply, start: TaskStart): boolean =>
  reply.incarnation === start.incarnation &&
  reply.taskId === start.taskId &&
  reply.attempt === start.attempt;
