/**
 * The requests that the clients of a crowd send, as text.
 */
import { fixtureHost, fixturePrefix } from '../standins/platform/routes.js';

/** A path that no route has. */
const unknownPrefix = '/no-such-route/';
/** More than a head may have, in bytes. */
const longHeaderBytes = 20_000;
/** More than the extension of a chunk may have, in bytes. */
const longExtensionBytes = 20_000;

/** As many as fit into a body of 262,144 bytes. */
const invalidDependencyCount = 87_000;

/** A kind of request that is complete by itself, so that many can be sent one after the other. */
export type RequestShape =
  /** A job that ends after 200 ms. */
  | 'job'
  /** The same without the headers of ordinary clients. */
  | 'plain-job'
  /** A job whose client waits for `100 Continue`. */
  | 'job-with-continue'
  /** A body that is no job, which is refused at once. */
  | 'invalid-job'
  /** A job of the largest size that is allowed, each part of which is invalid. */
  | 'large-invalid-job'
  | 'unknown-path'
  | 'without-host'
  | 'unknown-expectation'
  | 'upgrade';

/** A kind of message after which nothing more can be parsed. */
export type InvalidMessage = 'malformed' | 'long-head' | 'long-chunk-extension' | 'connect';

/**
 * Composes one request.
 *
 * @param client - number of the client
 * @param number - number of the request on its connection
 */
export const composeRequest = (shape: RequestShape, client: number, number: number): string => {
  const known = `${fixturePrefix}${composeJobId(client, number)}`;
  switch (shape) {
    case 'job':
      return composeJob(known, [
        'content-type: application/json',
        'x-toucandyke-deadline-ms: 30000',
      ]);
    case 'plain-job':
      return composeJob(known, []);
    case 'job-with-continue':
      return composeJob(known, ['expect: 100-continue']);
    case 'invalid-job':
      return `${composeHead('POST', known, ['content-length: 2'])}{}`;
    case 'large-invalid-job':
      return composePost(known, composeInvalidSteps(), []);
    case 'unknown-path':
      return composeJob(`${unknownPrefix}${composeJobId(client, number)}`, []);
    case 'without-host':
      return `GET /h${number} HTTP/1.1\r\n\r\n`;
    case 'unknown-expectation':
      return composeJob(known, ['expect: banana']);
    case 'upgrade':
      return composeHead('GET', known, ['connection: upgrade', 'upgrade: websocket']);
  }
};

/** Composes one message after which nothing more can be parsed. */
export const composeInvalid = (message: InvalidMessage, client: number): string => {
  const path = `${fixturePrefix}${composeJobId(client, 0)}`;
  switch (message) {
    case 'malformed':
      return 'POST\u0001 / HTTP/9.9\r\n\r\n';
    case 'long-head':
      return composeHead('POST', path, [`x-long: ${'a'.repeat(longHeaderBytes)}`]);
    case 'long-chunk-extension':
      return `${composeChunkedHead(path)}1;${'a'.repeat(longExtensionBytes)}\r\nx\r\n`;
    case 'connect':
      return composeHead('CONNECT', 'jobs.example:80', []);
  }
};

/** The start of a request whose body comes in equal chunks, and does not end. */
export interface UnfinishedBody {
  readonly chunks: number;
  readonly chunkBytes: number;
  /** `POST` by default. */
  readonly method?: 'POST' | 'DELETE';
  /** Whether its path has a route. */
  readonly hasRoute: boolean;
}

/**
 * Composes the start of a request.
 *
 * @param client - number of the client
 * @param number - number of the request on its connection
 */
export const composeUnfinished = (body: UnfinishedBody, client: number, number: number): string => {
  const prefix = body.hasRoute ? fixturePrefix : unknownPrefix;
  const chunk = `${body.chunkBytes.toString(16)}\r\n${'x'.repeat(body.chunkBytes)}\r\n`;
  const head = composeChunkedHead(`${prefix}${composeJobId(client, number)}`, body.method);
  return head + chunk.repeat(body.chunks);
};

const composeJob = (path: string, headers: readonly string[]): string => {
  const taskSpec = JSON.stringify({ runMs: 200, cpu: 1_000 });
  const steps = [{ count: 1, cpu: 1_000, estimatedMs: 200 }];
  return composePost(path, JSON.stringify({ taskSpec, steps, bestEffort: true }), headers);
};

const composeInvalidSteps = (): string => {
  const after = Array.from({ length: invalidDependencyCount }, () => -1);
  return JSON.stringify({ taskSpec: '', steps: [{ after }], bestEffort: true });
};

const composePost = (path: string, body: string, headers: readonly string[]): string =>
  composeHead('POST', path, [`content-length: ${body.length}`, ...headers]) + body;

const composeChunkedHead = (path: string, method = 'POST'): string =>
  composeHead(method, path, ['transfer-encoding: chunked']);

const composeHead = (method: string, target: string, headers: readonly string[]): string => {
  const lines = [`${method} ${target} HTTP/1.1`, `host: ${fixtureHost}`, ...headers];
  return `${lines.join('\r\n')}\r\n\r\n`;
};

const composeJobId = (client: number, number: number): string =>
  (client + 1).toString(16).padStart(8, '0') + (number + 1).toString(16).padStart(8, '0');
