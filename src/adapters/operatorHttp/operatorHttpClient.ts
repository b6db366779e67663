/**
 * HTTP client of the operators' interface of one daemon, for the command-line tool. Errors are texts
 * for the operator.
 */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { Pool } from 'undici';
import { z } from 'zod';
import {
  daemonStatusSchema,
  serviceLevelsSchema,
  tracesReplySchema,
} from '../../ports/operators.js';
import type { DaemonStatus, ServiceLevels, TracesReply } from '../../ports/operators.js';
import { requestJson } from '../http/requestJson.js';

const connectTimeoutMs = 1_000;
const requestTimeoutMs = 5_000;
const maxReplyBytes = 33_554_432;

const drainReplySchema = z.object({ state: z.literal('leaving') });
export type DrainReply = z.infer<typeof drainReplySchema>;

export class OperatorHttpClient {
  private readonly pool: Pool;

  private constructor(
    readonly address: string,
    private readonly token: string,
  ) {
    this.pool = new Pool(`http://${address}`, { connect: { timeout: connectTimeoutMs } });
  }

  /**
   * Creates a client.
   *
   * @param address - address of the operators' interface, as `IP:port`
   * @param token - the operators' bearer token
   */
  static create(address: string, token: string): OperatorHttpClient {
    return new OperatorHttpClient(address, token);
  }

  /** Fetches the status of the daemon and of its peers. */
  status(): Promise<Result<DaemonStatus, string>> {
    return this.request('GET', '/v1/status', 200, daemonStatusSchema);
  }

  /**
   * Fetches the traces of a job that the daemon has kept.
   *
   * @param name - a submission key or a job id
   */
  jobTraces(name: string): Promise<Result<TracesReply, string>> {
    return this.request('GET', `/v1/jobs/${name}`, 200, tracesReplySchema);
  }

  /** Fetches the service-level objectives and the sums per minute that the log does not have yet. */
  serviceLevels(): Promise<Result<ServiceLevels, string>> {
    return this.request('GET', '/v1/service-levels', 200, serviceLevelsSchema);
  }

  /** Requests a shutdown of the daemon. */
  drain(): Promise<Result<DrainReply, string>> {
    return this.request('POST', '/v1/drain', 202, drainReplySchema);
  }

  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async request<S extends z.ZodType>(
    method: 'GET' | 'POST',
    path: string,
    expectedStatus: number,
    schema: S,
  ): Promise<Result<z.infer<S>, string>> {
    const exchange = await requestJson(this.pool, {
      method,
      path,
      token: this.token,
      maxBytes: maxReplyBytes,
      signal: AbortSignal.timeout(requestTimeoutMs),
    });
    if (exchange.kind !== 'answered') {
      return Err(`${this.address}: ${exchange.detail}`);
    }
    const parsed = schema.safeParse(exchange.body);
    return exchange.status === expectedStatus && parsed.success
      ? Ok(parsed.data)
      : Err(`${this.address} answered ${exchange.status}.`);
  }
}
