/**
 * Client of a daemon's operators' interface, for the command-line tool.
 */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { Pool } from 'undici';
import { daemonStatusSchema } from '../../ports/operators.js';
import type { DaemonStatus } from '../../ports/operators.js';
import { requestJson } from '../http/requestJson.js';

const connectTimeoutMs = 1_000;
const requestTimeoutMs = 5_000;
const maxReplyBytes = 33_554_432;

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
   * @param address - IP number and port of the operators' interface
   * @param token - the operators' bearer token
   */
  static create(address: string, token: string): OperatorHttpClient {
    return new OperatorHttpClient(address, token);
  }

  /** @returns what the daemon tells about itself and its peers, or why it told nothing */
  async status(): Promise<Result<DaemonStatus, string>> {
    const exchange = await requestJson(this.pool, {
      method: 'GET',
      path: '/v1/status',
      token: this.token,
      maxBytes: maxReplyBytes,
      signal: AbortSignal.timeout(requestTimeoutMs),
    });
    if (exchange.kind !== 'answered') {
      return Err(`${this.address}: ${exchange.detail}`);
    }
    const parsed = daemonStatusSchema.safeParse(exchange.body);
    return exchange.status === 200 && parsed.success
      ? Ok(parsed.data)
      : Err(`${this.address} answered ${exchange.status}.`);
  }

  async close(): Promise<void> {
    await this.pool.destroy();
  }
}
