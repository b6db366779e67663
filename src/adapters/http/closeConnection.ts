/**
 * Closes the connection of a client that sends too much.
 */
import type { Socket } from 'node:net';

/** What Node.js attaches to the socket of an HTTP connection; it is not documented, and may be missing. */
interface ParsedSocket {
  readonly parser?: { onIncoming?: unknown } | null;
}

/** Tells the parser that another protocol follows, so that it stops. */
const stopParsing = 2;

/**
 * Closes a connection at once. Node.js would still parse all requests of the 64 KB that it has read, and keep them until the
 * next turn of the event loop: some 350 requests of each client. So its parser is stopped at the next request.
 */
export const closeConnection = (socket: Socket): void => {
  const { parser } = socket as ParsedSocket;
  if (parser?.onIncoming !== undefined && parser.onIncoming !== null) {
    parser.onIncoming = () => stopParsing;
  }
  socket.destroy();
};
