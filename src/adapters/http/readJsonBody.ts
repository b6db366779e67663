/**
 * Reads the JSON body of a request, with limits on its size and nesting depth.
 */
import type { IncomingMessage } from 'node:http';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { createProblem } from '../../errors/problem.js';
import type { Problem } from '../../errors/problem.js';
import { isNestingBounded } from '../../utils/jsonNesting.js';

/** Default limit on the nesting depth of a body. */
export const defaultMaxDepth = 32;

/**
 * Reads and parses the body of a request.
 *
 * @param request - the request
 * @param maxBytes - maximum size of the body, in bytes
 * @param maxDepth - maximum nesting depth of arrays and objects
 * @returns the parsed value, or an `invalid-request` or `too-large` problem
 */
export const readJsonBody = async (
  request: IncomingMessage,
  maxBytes: number,
  maxDepth = defaultMaxDepth,
): Promise<Result<unknown, Problem>> => {
  const declaredBytes = Number(request.headers['content-length'] ?? 0);
  if (declaredBytes > maxBytes) {
    return Err(createTooLargeProblem(maxBytes));
  }
  const body = await readBodyText(request, maxBytes);
  if (body.isErr()) {
    return body;
  }
  const text = body.value;
  if (!isNestingBounded(text, maxDepth)) {
    return Err(createProblem('invalid-request', `The body nests deeper than ${maxDepth} levels.`));
  }
  return parseJsonBody(text);
};

/** Reads the body as UTF-8. Stops once it is too large, but keeps the connection for the response. */
const readBodyText = (
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<string, Problem>> =>
  new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maxBytes) {
        request.pause();
        resolve(Err(createTooLargeProblem(maxBytes)));
        return;
      }
      chunks.push(chunk);
    });
    const onTruncated = (): void =>
      resolve(Err(createProblem('invalid-request', 'The body was cut off.')));
    request.once('end', () => {
      // An `Err` captures a stack trace, which is expensive, so a complete body must not create one.
      request.off('close', onTruncated);
      resolve(Ok(Buffer.concat(chunks).toString('utf8')));
    });
    request.once('error', onTruncated);
    request.once('close', onTruncated);
  });

/**
 * Parses the text of a body.
 *
 * @param text - the text
 * @returns the value, or an `invalid-request` problem
 */
export const parseJsonBody = (text: string): Result<unknown, Problem> => {
  try {
    return Ok(JSON.parse(text));
  } catch {
    return Err(createProblem('invalid-request', 'The body is not valid JSON.'));
  }
};

const createTooLargeProblem = (maxBytes: number): Problem =>
  createProblem('too-large', `The body must have at most ${maxBytes} bytes.`);
