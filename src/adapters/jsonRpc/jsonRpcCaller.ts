/**
 * Calls methods of another daemon: JSON-RPC 2.0 over kept-alive HTTP connections.
 */
import { JSONRPCClient, JSONRPCErrorException } from 'json-rpc-2.0';
import type { JSONRPCResponse } from 'json-rpc-2.0';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { Pool } from 'undici';
import type { z } from 'zod';
import type { PeerError } from '../../ports/peers.js';
import { requestJson } from '../http/requestJson.js';
import type { JsonRequest } from '../http/requestJson.js';

const maxReplyBytes = 33_554_432;
const connectTimeoutMs = 1_000;
const maxConnectionsPerPeer = 256;
/** Idle connections are kept for this long, in milliseconds. */
const keepAliveMs = 4_000;

/** Parameters and result of each method. */
export type MethodTable = Readonly<
  Record<string, { readonly params: z.ZodType; readonly result: z.ZodType }>
>;

/** When a call is given up. */
export type CallBound = Pick<JsonRequest, 'signal' | 'timeoutMs'>;

export interface JsonRpcCallerOptions<T extends MethodTable> {
  /** IP number and port. */
  readonly address: string;
  readonly path: string;
  readonly methods: T;
  /** Bearer token, where the other side asks for one. */
  readonly token?: string;
}

/** Thrown inside the JSON-RPC client where the transport failed. */
class TransportError extends Error {
  constructor(readonly peerError: PeerError) {
    super(peerError.detail);
  }
}

export class JsonRpcCaller<T extends MethodTable> {
  private readonly pool: Pool;
  private readonly client: JSONRPCClient<CallBound>;

  private constructor(private readonly options: JsonRpcCallerOptions<T>) {
    this.pool = new Pool(`http://${options.address}`, {
      connections: maxConnectionsPerPeer,
      connect: { timeout: connectTimeoutMs },
      keepAliveTimeout: keepAliveMs,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.client = new JSONRPCClient<CallBound>((payload, bound) => this.send(payload, bound));
  }

  static create<T extends MethodTable>(options: JsonRpcCallerOptions<T>): JsonRpcCaller<T> {
    return new JsonRpcCaller(options);
  }

  /**
   * Calls a method.
   *
   * @param method - its name in the table
   * @param params - its parameters
   * @param bound - when it is given up
   */
  async call<M extends keyof T & string>(
    method: M,
    params: z.input<T[M]['params']>,
    bound: CallBound,
  ): Promise<Result<z.output<T[M]['result']>, PeerError>> {
    try {
      const reply: unknown = await this.client.request(method, params, bound);
      const parsed = this.options.methods[method]?.result.safeParse(reply);
      return parsed?.success === true
        ? Ok(parsed.data as z.output<T[M]['result']>)
        : Err({ kind: 'broken', detail: `The peer's answer to ${method} is not valid.` });
    } catch (error) {
      return Err(toPeerError(error));
    }
  }

  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async send(payload: unknown, bound: CallBound): Promise<void> {
    const { path, token } = this.options;
    const exchange = await requestJson(this.pool, {
      method: 'POST',
      path,
      body: payload,
      ...(token === undefined ? {} : { token }),
      maxBytes: maxReplyBytes,
      ...bound,
    });
    if (exchange.kind !== 'answered') {
      throw new TransportError(exchange);
    }
    if (exchange.status !== 200) {
      const detail = `The peer answered ${exchange.status}.`;
      throw new TransportError({ kind: 'refused', detail });
    }
    this.client.receive(exchange.body as JSONRPCResponse);
  }
}

const toPeerError = (error: unknown): PeerError => {
  if (error instanceof TransportError) {
    return error.peerError;
  }
  const kind = error instanceof JSONRPCErrorException ? 'refused' : 'broken';
  return { kind, detail: String(error) };
};
