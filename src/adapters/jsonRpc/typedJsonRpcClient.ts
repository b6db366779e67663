/**
 * JSON-RPC 2.0 client for the methods of another daemon, over persistent HTTP connections.
 */
import { JSONRPCClient, JSONRPCErrorException } from 'json-rpc-2.0';
import type { JSONRPCResponse } from 'json-rpc-2.0';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { Pool } from 'undici';
import type { z } from 'zod';
import type { PeerError } from '../../ports/peers.js';
import { requestJson } from '../http/requestJson.js';
import type { HttpRequest } from '../http/requestJson.js';

const maxReplyBytes = 33_554_432;
const connectTimeoutMs = 1_000;
const maxConnectionsPerPeer = 256;
/** Idle timeout of connections, shorter than that of the servers. */
const keepAliveMs = 4_000;

/** Schemas of the parameters and the result of each method, by method name. */
export type MethodTable = Readonly<
  Record<string, { readonly params: z.ZodType; readonly result: z.ZodType }>
>;

/** Parameters of a method, before defaults are applied. */
export type MethodParams<T extends MethodTable, M extends keyof T> = z.input<T[M]['params']>;

/** Validated result of a method. */
export type CallResult<T extends MethodTable, M extends keyof T> = z.output<T[M]['result']>;

/** Conditions under which a call is aborted. */
export type CallLimits = Pick<HttpRequest, 'signal' | 'timeoutMs'>;

export interface TypedJsonRpcClientOptions<T extends MethodTable> {
  /** Address of the peer, as `IP:port`. */
  readonly address: string;
  readonly path: string;
  readonly methods: T;
  /** Bearer token, if the peer requires one. */
  readonly token?: string;
}

/** Carries a transport failure through `JSONRPCClient`, which rejects with it. */
class TransportError extends Error {
  constructor(readonly peerError: PeerError) {
    super(peerError.detail);
  }
}

export class TypedJsonRpcClient<T extends MethodTable> {
  private readonly pool: Pool;
  private readonly client: JSONRPCClient<CallLimits>;

  private constructor(private readonly options: TypedJsonRpcClientOptions<T>) {
    this.pool = new Pool(`http://${options.address}`, {
      connections: maxConnectionsPerPeer,
      connect: { timeout: connectTimeoutMs },
      keepAliveTimeout: keepAliveMs,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.client = new JSONRPCClient<CallLimits>((payload, limits) => this.send(payload, limits));
  }

  static create<T extends MethodTable>(
    options: TypedJsonRpcClientOptions<T>,
  ): TypedJsonRpcClient<T> {
    return new TypedJsonRpcClient(options);
  }

  /**
   * Calls a method of the peer.
   *
   * @param method - name of the method in the table
   * @param params - parameters, before defaults are applied
   * @param limits - when to abort the call
   * @returns the validated result, or an error: `not-sent` if the peer received nothing, `refused` if
   *   it responded with an error, `broken` if it may have acted
   */
  async call<M extends keyof T & string>(
    method: M,
    params: MethodParams<T, M>,
    limits: CallLimits,
  ): Promise<Result<CallResult<T, M>, PeerError>> {
    try {
      const reply: unknown = await this.client.request(method, params, limits);
      return decodeReply(this.options.methods, method, reply);
    } catch (error) {
      return Err(toPeerError(error));
    }
  }

  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async send(payload: unknown, limits: CallLimits): Promise<void> {
    const { path, token } = this.options;
    const exchange = await requestJson(this.pool, {
      method: 'POST',
      path,
      body: payload,
      ...(token === undefined ? {} : { token }),
      maxBytes: maxReplyBytes,
      ...limits,
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

/**
 * Validates the result of a call.
 *
 * @param methods - schemas of the methods
 * @param method - the method that was called
 * @param reply - its result as received
 */
export const decodeReply = <T extends MethodTable, M extends keyof T & string>(
  methods: T,
  method: M,
  reply: unknown,
): Result<CallResult<T, M>, PeerError> => {
  const parsed = methods[method]?.result.safeParse(reply);
  return parsed?.success === true
    ? Ok(parsed.data as CallResult<T, M>)
    : Err({ kind: 'broken', detail: `The peer's answer to ${method} is not valid.` });
};

/** Converts what a failed call threw. */
export const toPeerError = (error: unknown): PeerError => {
  if (error instanceof TransportError) {
    return error.peerError;
  }
  const kind = error instanceof JSONRPCErrorException ? 'refused' : 'broken';
  return { kind, detail: String(error) };
};
