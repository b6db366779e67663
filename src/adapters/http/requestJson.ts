/**
 * Sends requests through an `undici` connection pool and reads the whole response.
 */
import type { Dispatcher, Pool } from 'undici';

/**
 * Why a request that may have been received has no complete response. `connection-lost`: the connection was closed
 * or reset by the other side or by the network. `given-up`: it was ended here, such as by its timeout.
 */
export type BreakCause = 'connection-lost' | 'given-up' | 'invalid-response';

/**
 * Outcome of a request. `not-sent`: the server received nothing. `broken`: the request may have been
 * received, but there is no complete response in JSON.
 */
export type HttpExchange =
  | { readonly kind: 'answered'; readonly status: number; readonly body: unknown }
  | { readonly kind: 'not-sent'; readonly detail: string }
  | { readonly kind: 'broken'; readonly cause: BreakCause; readonly detail: string };

/** Codes of errors that end a connection in use from outside this process. */
const lostConnectionCodes: readonly string[] = ['UND_ERR_SOCKET', 'ECONNRESET', 'EPIPE'];

/** Outcome of a request whose response is not parsed. */
export type RawExchange =
  | { readonly kind: 'answered'; readonly status: number; readonly bytes: Buffer }
  | Exclude<HttpExchange, { kind: 'answered' }>;

export interface HttpRequest {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  /** Body to send as JSON. */
  readonly body?: unknown;
  /** Body to send as it is, in place of `body`. */
  readonly bytes?: Buffer;
  /** Bearer token. */
  readonly token?: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Maximum size of the response body, in bytes; a larger one ends the request as `broken`. */
  readonly maxBytes: number;
  /** Aborts the request. */
  readonly signal?: AbortSignal;
  /** Time after which the request is aborted, in milliseconds. */
  readonly timeoutMs?: number;
}

/**
 * Sends a request and parses the response as JSON.
 *
 * @param pool - connections to the server
 * @param request - the request
 * @returns the response; `not-sent` only if the server certainly received nothing
 */
export const requestJson = async (pool: Pool, request: HttpRequest): Promise<HttpExchange> => {
  const exchange = await requestBytes(pool, request);
  if (exchange.kind !== 'answered') {
    return exchange;
  }
  try {
    const body = JSON.parse(exchange.bytes.toString('utf8')) as unknown;
    return { kind: 'answered', status: exchange.status, body };
  } catch (error) {
    return { kind: 'broken', cause: 'invalid-response', detail: String(error) };
  }
};

/**
 * Sends a request and reads the whole response body.
 *
 * @param pool - connections to the server
 * @param request - the request
 * @returns the response; `not-sent` only if the server certainly received nothing
 */
export const requestBytes = (pool: Pool, request: HttpRequest): Promise<RawExchange> =>
  request.signal?.aborted === true
    ? Promise.resolve({
        kind: 'not-sent',
        detail: 'The request was given up before it was sent.',
      })
    : ExchangeHandler.send(pool, request);

/**
 * Handles the events of one request. The response streams of `undici` would cost several times as much
 * for the small responses that are read here.
 */
class ExchangeHandler implements Dispatcher.DispatchHandler {
  private readonly chunks: Buffer[] = [];
  private bytes = 0;
  private status = 0;
  private controller: Dispatcher.DispatchController | undefined;
  private isEnded = false;
  /** Whether this process has ended the request. */
  private isGivenUp = false;
  private readonly timer: NodeJS.Timeout | undefined;
  private readonly abortBySignal = (): void => this.abort('The request was given up.');

  private constructor(
    private readonly request: HttpRequest,
    private readonly resolve: (exchange: RawExchange) => void,
  ) {
    request.signal?.addEventListener('abort', this.abortBySignal);
    this.timer =
      request.timeoutMs === undefined
        ? undefined
        : setTimeout(() => this.abortByTimeout(), request.timeoutMs);
  }

  static send(pool: Pool, request: HttpRequest): Promise<RawExchange> {
    return new Promise((resolve) => {
      pool.dispatch(
        {
          method: request.method,
          path: request.path,
          headers: createHeaders(request),
          body: request.bytes ?? (request.body === undefined ? null : JSON.stringify(request.body)),
        },
        new ExchangeHandler(request, resolve),
      );
    });
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.isEnded) {
      controller.abort(new Error('The request was given up before it was sent.'));
    }
  }

  onResponseStart(_controller: Dispatcher.DispatchController, statusCode: number): void {
    this.status = statusCode;
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.bytes += chunk.length;
    if (this.bytes > this.request.maxBytes) {
      this.isGivenUp = true;
      controller.abort(new Error(`The answer has more than ${this.request.maxBytes} bytes.`));
      return;
    }
    this.chunks.push(chunk);
  }

  onResponseEnd(): void {
    const [first] = this.chunks;
    const bytes =
      first !== undefined && this.chunks.length === 1 ? first : Buffer.concat(this.chunks);
    this.end({ kind: 'answered', status: this.status, bytes });
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    // The code proves nothing: a connection in use can fail with the ones of a failed attempt to connect.
    const detail = String(error);
    this.end(
      this.controller === undefined
        ? { kind: 'not-sent', detail }
        : { kind: 'broken', cause: this.causeOf(error), detail },
    );
  }

  private causeOf(error: Error): BreakCause {
    if (this.isGivenUp) {
      return 'given-up';
    }
    return lostConnectionCodes.includes(errorCodeOf(error))
      ? 'connection-lost'
      : 'invalid-response';
  }

  /** Defers the abort: after a stall of this process, a response that has arrived is read first. */
  private abortByTimeout(): void {
    setImmediate(() => this.abort('The time for the answer is over.'));
  }

  private abort(detail: string): void {
    if (this.controller === undefined) {
      this.end({ kind: 'not-sent', detail });
      return;
    }
    this.isGivenUp = true;
    this.controller.abort(new Error(detail));
  }

  private end(exchange: RawExchange): void {
    if (this.isEnded) {
      return;
    }
    this.isEnded = true;
    clearTimeout(this.timer);
    this.request.signal?.removeEventListener('abort', this.abortBySignal);
    this.resolve(exchange);
  }
}

const errorCodeOf = (error: Error): string =>
  'code' in error && typeof error.code === 'string' ? error.code : '';

const createHeaders = ({ token, headers }: HttpRequest): Record<string, string> => ({
  'content-type': 'application/json',
  ...(token === undefined ? {} : { authorization: `Bearer ${token}` }),
  ...headers,
});
