/**
 * HTTP client of the callers' interface of one daemon.
 */
import { Pool } from 'undici';
import { z } from 'zod';
import type { ErrorKind, RunState } from '../../errors/errorKinds.js';
import { jobAnswerSchema } from '../../types/jobs.js';
import type { Submission } from '../../types/jobs.js';
import { unreachable } from '../../errors/unreachable.js';
import { problemBodySchema } from '../http/problemBody.js';
import { requestJson } from '../http/requestJson.js';
import type { HttpExchange } from '../http/requestJson.js';

const maxReplyBytes = 16_777_216;

/**
 * Outcome of one request. `not-sent`: the daemon received nothing. `broken`: the connection failed or
 * the response was not valid, so the request may have taken effect.
 */
export type CallerOutcome =
  | { readonly kind: 'complete'; readonly results: readonly unknown[] }
  | { readonly kind: 'failed'; readonly errorKind: ErrorKind; readonly runState: RunState }
  | { readonly kind: 'broken' }
  | { readonly kind: 'not-sent' };

export class CallerHttpClient {
  private readonly pool: Pool;

  private constructor(
    readonly address: string,
    private readonly token: string,
  ) {
    this.pool = new Pool(`http://${address}`, { headersTimeout: 0, bodyTimeout: 0 });
  }

  /**
   * Creates a client of one daemon.
   *
   * @param address - address of the callers' interface, as `IP:port`
   * @param token - the caller's bearer token
   */
  static create(address: string, token: string): CallerHttpClient {
    return new CallerHttpClient(address, token);
  }

  /** @returns the owner part for new keys, or undefined without a valid response */
  async owner(signal: AbortSignal): Promise<string | undefined> {
    const exchange = await this.send('GET', '/v1/owner', undefined, signal);
    const parsed = z
      .object({ owner: z.string() })
      .safeParse(exchange.kind === 'answered' ? exchange.body : null);
    return parsed.success ? parsed.data.owner : undefined;
  }

  /** Submits a job under an idempotency key. */
  async submit(key: string, submission: Submission, signal: AbortSignal): Promise<CallerOutcome> {
    const exchange = await this.send('POST', '/v1/jobs', submission, signal, key);
    return toOutcome(exchange);
  }

  /** Runs repeatable operations, without a key. */
  async lookup(submission: Submission, signal: AbortSignal): Promise<CallerOutcome> {
    const exchange = await this.send('POST', '/v1/lookups', submission, signal);
    return toOutcome(exchange);
  }

  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private send(
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
    signal: AbortSignal,
    key?: string,
  ): Promise<HttpExchange> {
    const headers: Record<string, string> = key === undefined ? {} : { 'idempotency-key': key };
    return requestJson(this.pool, {
      method,
      path,
      body,
      headers,
      token: this.token,
      maxBytes: maxReplyBytes,
      signal,
    });
  }
}

const toOutcome = (exchange: HttpExchange): CallerOutcome => {
  switch (exchange.kind) {
    case 'not-sent':
    case 'broken':
      return { kind: exchange.kind };
    case 'answered':
      return decodeAnswer(exchange.body);
    default:
      return unreachable(exchange);
  }
};

const decodeAnswer = (body: unknown): CallerOutcome => {
  const answer = jobAnswerSchema.safeParse(body);
  if (answer.success && answer.data.status === 'complete') {
    return { kind: 'complete', results: answer.data.results };
  }
  const problem = problemBodySchema.safeParse(body);
  return problem.success
    ? { kind: 'failed', errorKind: problem.data.kind, runState: problem.data.runState }
    : { kind: 'broken' };
};
