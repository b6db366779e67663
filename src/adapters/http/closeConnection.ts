/**
 * Closes the connection of a client that sends too much.
 */
import type { Socket } from 'node:net';
import { stopParsing } from './stopParsing.js';

/** Closes a connection at once, without parsing the rest of what was read. */
export const closeConnection = (socket: Socket): void => {
  stopParsing(socket);
  socket.destroy();
};
