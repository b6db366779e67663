/**
 * Rejects requests whose head HTTP/1.1 does not allow.
 */
import type { ServerResponse } from 'node:http';
import { stopParsing } from './stopParsing.js';

/** Sends a response without a body, and ends the connection with it: no later request on the connection is parsed. */
export const rejectRequest = (response: ServerResponse, status: number): void => {
  response.writeHead(status, { connection: 'close', 'content-length': 0 });
  response.end();
  stopParsing(response.req.socket);
};
