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
  readonly token?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly maxBytes: number;
  readonly signal: AbortSignal;
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
export const requestBytes = async (pool: Pool, request: JsonRequest): Promise<RawExchange> => {
  if (request.signal.aborted) {
    return { kind: 'not-sent', detail: 'The request was given up before it was sent.' };
  }
  try {
    const { statusCode, body } = await pool.request({
      method: request.method,
      path: request.path,
      headers: createHeaders(request),
      body: request.body === undefined ? null : JSON.stringify(request.body),
      signal: request.signal,
    });
    const bytes = await readBytes(body, request.maxBytes);
    return { kind: 'answered', status: statusCode, bytes };
  } catch (error) {
    const kind = notSentCodes.has(readCode(error)) ? 'not-sent' : 'broken';
    return { kind, detail: String(error) };
  }
};

const createHeaders = ({ token, headers }: JsonRequest): Record<string, string> => ({
  'content-type': 'application/json',
  ...(token === undefined ? {} : { authorization: `Bearer ${token}` }),
  ...headers,
});

const readBytes = async (body: AsyncIterable<Buffer>, maxBytes: number): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += chunk.length;
    if (bytes > maxBytes) {
      throw new Error(`The answer has more than ${maxBytes} bytes.`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
};

const readCode = (error: unknown): string =>
  error instanceof Error && 'code' in error ? String(error.code) : '';
