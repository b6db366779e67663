/**
 * Closes the connection of a client that sends too much.
 */
import type { Socket } from 'node:net';

/** What Node.js attaches to the socket of an HTTP connection; it is not documented, and may be missing. */
interface ParsedSocket {
  readonly parser?: { pause?(): void } | null;
}

/**
 * Closes a connection at once. Node.js would still parse all requests of the 64 KB that it has read, and keep them until the
 * next turn of the event loop: in a crowd of clients, some 300 requests for each of them. So its parser is paused first.
 */
export const closeConnection = (socket: Socket): void => {
  (socket as ParsedSocket).parser?.pause?.();
  socket.destroy();
};
