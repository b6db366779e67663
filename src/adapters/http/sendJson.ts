/**
 * Writes whole JSON answers and problem details.
 */
import type { ServerResponse } from 'node:http';
import type { Problem } from '../../errors/problem.js';
import type { TaskState } from '../../types/jobs.js';
import { createProblemBody } from './problemBody.js';

/** Headers that an answer carries beside its content type and length. */
export interface ExtraHeaders {
  readonly owner?: string;
  readonly location?: string;
}

/**
 * Sends a value as one whole JSON answer.
 *
 * @param response - where to
 * @param status - the HTTP status
 * @param value - the body
 * @param headers - further headers
 */
export const sendJson = (
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: ExtraHeaders = {},
): void => send(response, status, 'application/json', value, headers);

/**
 * Sends a problem as RFC 9457 problem details.
 *
 * @param response - where to
 * @param problem - the problem
 * @param headers - further headers
 * @param taskStates - what is known of each task, for a job that failed
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
    // The rest of the body is not read.
    response.shouldKeepAlive = false;
  }
  response.writeHead(status, {
    'content-type': contentType,
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
};
