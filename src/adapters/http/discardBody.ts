/**
 * Reads and drops the body of a request that needs none. Node.js would keep what it has read of it until the response is sent.
 */
import type { IncomingMessage } from 'node:http';
import type { BodyRoom } from './readJsonBody.js';

/**
 * Drops the body of a request.
 *
 * @param room - counts the chunks of the body
 */
export const discardBody = (request: IncomingMessage, room: BodyRoom): void => {
  request.on('data', () => room.countChunk());
};
