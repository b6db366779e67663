/**
 * Reads the JSON body of a request, with limits on its size and nesting depth.
 */
import type { IncomingMessage } from 'node:http';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { createProblem } from '../../errors/problem.js';
import type { Problem } from '../../errors/problem.js';
import { isNestingBounded } from '../../utils/jsonNesting.js';
import { BodyBuffer } from './bodyBuffer.js';

/** Default limit on the nesting depth of a body. */
export const defaultMaxDepth = 32;

/** Room for the body of one request. */
export interface BodyRoom {
  /**
   * Counts the memory that the body takes. If there is none left for it, calls the function of `onStop`.
   *
   * @param bytes - all that it takes, in bytes
   */
  hold(bytes: number): void;
  /** Counts a chunk of the body. If there were too many, calls the function of `onStop`. */
  countChunk(): void;
  /** Counts a complete body before it is parsed; a problem refuses it. */
  end(bytes: number): Problem | undefined;
  /** Takes a function that stops reading with a problem, which may be called until the body has ended. */
  onStop(stop: (problem: Problem) => void): void;
}

/** Room without a limit beyond that of each body. */
const unlimitedRoom: BodyRoom = {
  hold: () => undefined,
  countChunk: () => undefined,
  end: () => undefined,
  onStop: () => undefined,
};

/**
 * Reads and parses the body of a request.
 *
 * @param request - the request
 * @param maxBytes - maximum size of the body, in bytes
 * @param maxDepth - maximum nesting depth of arrays and objects
 * @param room - room for the body, unlimited by default
 * @returns the parsed value, or an `invalid-request` or `too-large` problem, or that of the room
 */
export const readJsonBody = async (
  request: IncomingMessage,
  maxBytes: number,
  maxDepth = defaultMaxDepth,
  room: BodyRoom = unlimitedRoom,
): Promise<Result<unknown, Problem>> => {
  const declaredBytes = Number(request.headers['content-length'] ?? 0);
  if (declaredBytes > maxBytes) {
    return Err(createTooLargeProblem(maxBytes));
  }
  const body = await readBodyText(request, maxBytes, room);
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
  room: BodyRoom,
): Promise<Result<string, Problem>> =>
  new Promise((resolve) => {
    const body = BodyBuffer.create(maxBytes);
    const stop = (problem: Problem): void => {
      request.off('data', append);
      request.pause();
      body.clear();
      resolve(Err(problem));
    };
    const append = (chunk: Buffer): void => {
      if (body.length + chunk.length > maxBytes) {
        stop(createTooLargeProblem(maxBytes));
        return;
      }
      const capacityBefore = body.capacity;
      body.append(chunk);
      if (body.capacity !== capacityBefore) {
        room.hold(body.capacity);
      }
      room.countChunk();
    };
    const onTruncated = (): void => stop(createProblem('invalid-request', 'The body was cut off.'));
    room.onStop(stop);
    request.on('data', append);
    request.once('end', () => {
      // An `Err` captures a stack trace, which is expensive, so a complete body must not create one.
      request.off('close', onTruncated);
      const refusal = room.end(body.length);
      resolve(refusal === undefined ? Ok(body.toText()) : Err(refusal));
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
