/**
 * HTTP client of the platform's log service.
 */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { Pool } from 'undici';
import type { z } from 'zod';
import type { LogPage, LogService, LogServiceError } from '../../ports/logService.js';
import { requestJson } from '../http/requestJson.js';
import type { HttpRequest } from '../http/requestJson.js';
import { appendReplySchema, readReplySchema } from './logMessages.js';

const maxReplyBytes = 33_554_432;
const connectTimeoutMs = 1_000;
const requestTimeoutMs = 2_000;

export class LogHttpClient implements LogService {
  private readonly pool: Pool;

  private constructor(address: string) {
    this.pool = new Pool(`http://${address}`, { connect: { timeout: connectTimeoutMs } });
  }

  /**
   * Creates a client.
   *
   * @param address - address of the log service, as `IP:port`
   */
  static create(address: string): LogHttpClient {
    return new LogHttpClient(address);
  }

  async append(
    stream: string,
    values: readonly unknown[],
    signal: AbortSignal,
  ): Promise<Result<number, LogServiceError>> {
    const path = `/v1/streams/${stream}/records`;
    const boundedSignal = AbortSignal.any([signal, AbortSignal.timeout(requestTimeoutMs)]);
    const reply = await this.request(appendReplySchema, {
      method: 'POST',
      path,
      body: { values },
      maxBytes: maxReplyBytes,
      signal: boundedSignal,
    });
    return reply.map(({ firstOffset }) => firstOffset);
  }

  async read(
    stream: string,
    fromOffset: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<LogPage, LogServiceError>> {
    const path = `/v1/streams/${stream}/records?from=${fromOffset}&waitMs=${waitMs}`;
    const boundedSignal = AbortSignal.any([signal, AbortSignal.timeout(waitMs + requestTimeoutMs)]);
    return this.request(readReplySchema, {
      method: 'GET',
      path,
      maxBytes: maxReplyBytes,
      signal: boundedSignal,
    });
  }

  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async request<T>(
    schema: z.ZodType<T>,
    request: HttpRequest,
  ): Promise<Result<T, LogServiceError>> {
    const exchange = await requestJson(this.pool, request);
    if (exchange.kind !== 'answered') {
      return Err({ kind: 'unreachable', detail: exchange.detail });
    }
    const parsed = schema.safeParse(exchange.body);
    if (exchange.status !== 200 || !parsed.success) {
      return Err({ kind: 'refused', detail: `The log service answered ${exchange.status}.` });
    }
    return Ok(parsed.data);
  }
}
