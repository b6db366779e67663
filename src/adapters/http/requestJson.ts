/**
 * Sends one request through an `undici` pool and reads the whole answer.
 */
import type { Dispatcher, Pool } from 'undici';

/** How one exchange ended. */
export type HttpExchange =
  | { readonly kind: 'answered'; readonly status: number; readonly body: unknown }
  | { readonly kind: 'not-sent'; readonly detail: string }
  | { readonly kind: 'broken'; readonly detail: string };

/** How an exchange ended whose answer is not read as JSON. */
export type RawExchange =
  | { readonly kind: 'answered'; readonly status: number; readonly bytes: Buffer }
  | Exclude<HttpExchange, { kind: 'answered' }>;

export interface JsonRequest {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly body?: unknown;
  /** A body that is no JSON. */
  readonly bytes?: Buffer;
  readonly token?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly maxBytes: number;
  /** Gives the exchange up. */
  readonly signal?: AbortSignal;
  /** Time after which the exchange is given up, in milliseconds. */
  readonly timeoutMs?: number;
}

/** Codes of failures before a connection stood, so that nothing was sent. */
const notSentCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * Sends a request and reads the whole answer as JSON.
 *
 * @param pool - the connections to the other side
 * @param request - what to send
 * @returns the answer; `not-sent` only where the other side certainly saw nothing
 */
export const requestJson = async (pool: Pool, request: JsonRequest): Promise<HttpExchange> => {
  const exchange = await requestBytes(pool, request);
  if (exchange.kind !== 'answered') {
    return exchange;
  }
  try {
    const body = JSON.parse(exchange.bytes.toString('utf8')) as unknown;
    return { kind: 'answered', status: exchange.status, body };
  } catch (error) {
    return { kind: 'broken', detail: String(error) };
  }
};

/**
 * Sends a request and reads the whole answer.
 *
 * @param pool - the connections to the other side
 * @param request - what to send
 * @returns the answer; `not-sent` only where the other side certainly saw nothing
 */
export const requestBytes = (pool: Pool, request: JsonRequest): Promise<RawExchange> =>
  request.signal?.aborted === true
    ? Promise.resolve({
        kind: 'not-sent',
        detail: 'The request was given up before it was sent.',
      })
    : ExchangeHandler.send(pool, request);

/**
 * Takes the events of one exchange. `undici` also offers a stream for each answer, which costs several
 * times as much for the small answers that are read here.
 */
class ExchangeHandler implements Dispatcher.DispatchHandler {
  private readonly chunks: Buffer[] = [];
  private bytes = 0;
  private status = 0;
  private controller: Dispatcher.DispatchController | undefined;
  private isOver = false;
  private readonly timer: NodeJS.Timeout | undefined;
  private readonly giveUp = (): void => this.abort('The request was given up.');

  private constructor(
    private readonly request: JsonRequest,
    private readonly resolve: (exchange: RawExchange) => void,
  ) {
    request.signal?.addEventListener('abort', this.giveUp);
    this.timer =
      request.timeoutMs === undefined
        ? undefined
        : setTimeout(() => this.timeUp(), request.timeoutMs);
  }

  static send(pool: Pool, request: JsonRequest): Promise<RawExchange> {
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
    if (this.isOver) {
      controller.abort(new Error('The request was given up before it was sent.'));
    }
  }

  onResponseStart(_controller: Dispatcher.DispatchController, statusCode: number): void {
    this.status = statusCode;
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.bytes += chunk.length;
    if (this.bytes > this.request.maxBytes) {
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
    const isNotSent = this.controller === undefined || notSentCodes.has(readCode(error));
    this.end({ kind: isNotSent ? 'not-sent' : 'broken', detail: String(error) });
  }

  /** After a stall of this process the answer may be there already; it is read first. */
  private timeUp(): void {
    setImmediate(() => this.abort('The time for the answer is over.'));
  }

  private abort(detail: string): void {
    if (this.controller === undefined) {
      this.end({ kind: 'not-sent', detail });
      return;
    }
    this.controller.abort(new Error(detail));
  }

  private end(exchange: RawExchange): void {
    if (this.isOver) {
      return;
    }
    this.isOver = true;
    clearTimeout(this.timer);
    this.request.signal?.removeEventListener('abort', this.giveUp);
    this.resolve(exchange);
  }
}

const createHeaders = ({ token, headers }: JsonRequest): Record<string, string> => ({
  'content-type': 'application/json',
  ...(token === undefined ? {} : { authorization: `Bearer ${token}` }),
  ...headers,
});

const readCode = (error: unknown): string =>
  error instanceof Error && 'code' in error ? String(error.code) : '';
