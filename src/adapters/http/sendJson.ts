/**
 * Sends JSON responses and problem details.
 */
import type { ServerResponse } from 'node:http';
import type { Problem } from '../../errors/problem.js';
import type { TaskState } from '../../types/jobs.js';
import { createProblemBody } from './problemBody.js';
import { stopParsing } from './stopParsing.js';

/** Headers of a response in addition to its content type and length. */
export interface ExtraHeaders {
  /** Owner part for new keys, sent as `toucandyke-owner`. */
  readonly owner?: string;
  readonly location?: string;
}

/**
 * Sends a value as a JSON response and ends the response.
 *
 * @param response - the response to write
 * @param status - the HTTP status
 * @param value - the body
 * @param headers - additional headers
 */
export const sendJson = (
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: ExtraHeaders = {},
): void => send(response, status, 'application/json', value, headers);

/**
 * Sends a problem as problem details (RFC 9457), with the HTTP status of its kind.
 *
 * @param response - the response to write
 * @param problem - the problem
 * @param headers - additional headers
 * @param taskStates - state of each task, for a job that failed
 */
export const sendProblem = (
  response: ServerResponse,
  problem: Problem,
  headers: ExtraHeaders = {},
  taskStates?: readonly TaskState[],
): void => {
  if (problem.retryAfterMs !== undefined) {
    response.setHeader('retry-after', Math.ceil(problem.retryAfterMs / 1_000));
  }
  const body = createProblemBody(problem, taskStates);
  send(response, body.status, 'application/problem+json', body, headers);
};

const send = (
  response: ServerResponse,
  status: number,
  contentType: string,
  value: unknown,
  headers: ExtraHeaders,
): void => {
  const body = JSON.stringify(value);
  if (headers.owner !== undefined) {
    response.setHeader('toucandyke-owner', headers.owner);
  }
  if (headers.location !== undefined) {
    response.setHeader('location', headers.location);
  }
  if (!response.req.complete) {
    // The rest of the request body is not read, so the connection cannot be reused.
    response.shouldKeepAlive = false;
    stopParsing(response.req.socket);
  }
  response.writeHead(status, {
    'content-type': contentType,
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
};
