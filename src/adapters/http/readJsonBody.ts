/**
 * Reads a JSON body within limits on bytes and nesting.
 */
import type { IncomingMessage } from 'node:http';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { createProblem } from '../../errors/problem.js';
import type { Problem } from '../../errors/problem.js';
import { isNestingBounded } from '../../utils/jsonNesting.js';

export const maxNesting = 32;

/**
 * Reads a body as JSON.
 *
 * @param request - the request
 * @param maxBytes - the largest body that is accepted
 * @param maxDepth - the deepest nesting that is accepted
 * @returns the parsed value, or an `invalid-request` or `too-large` problem
 */
export const readJsonBody = async (
  request: IncomingMessage,
  maxBytes: number,
  maxDepth = maxNesting,
): Promise<Result<unknown, Problem>> => {
  const announced = Number(request.headers['content-length'] ?? 0);
  if (announced > maxBytes) {
    return Err(tooLarge(maxBytes));
  }
  const body = await readText(request, maxBytes);
  if (body.isErr()) {
    return body;
  }
  const text = body.value;
  if (!isNestingBounded(text, maxDepth)) {
    return Err(createProblem('invalid-request', `The body nests deeper than ${maxDepth} levels.`));
  }
  return parseJson(text);
};

/** Stops reading, but keeps the connection for the answer, once the body is too large. */
const readText = (request: IncomingMessage, maxBytes: number): Promise<Result<string, Problem>> =>
  new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maxBytes) {
        request.pause();
        resolve(Err(tooLarge(maxBytes)));
        return;
      }
      chunks.push(chunk);
    });
    const cutOff = (): void =>
      resolve(Err(createProblem('invalid-request', 'The body was cut off.')));
    request.once('end', () => {
      // An error value captures a stack, so none is made for a body that is whole.
      request.off('close', cutOff);
      resolve(Ok(Buffer.concat(chunks).toString('utf8')));
    });
    request.once('error', cutOff);
    request.once('close', cutOff);
  });

/**
 * Parses JSON text.
 *
 * @param text - the text
 * @returns the value, or an `invalid-request` problem
 */
export const parseJson = (text: string): Result<unknown, Problem> => {
  try {
    return Ok(JSON.parse(text));
  } catch {
    return Err(createProblem('invalid-request', 'The body is not valid JSON.'));
  }
};

const tooLarge = (maxBytes: number): Problem =>
  createProblem('too-large', `The body must have at most ${maxBytes} bytes.`);
