/**
 * Stops the HTTP parser of a connection. By itself, Node.js parses everything in the 64 KB that it has read, also once the
 * connection is closed or is to be closed: thousands of requests, or of chunks of a body, of each client.
 */
import type { Socket } from 'node:net';

/** Property in which a parser of Node.js has its callback for a part of a body. */
const onBody = 3;
/** Result of `onIncoming` that announces another protocol, at which the parser stops. */
const protocolChanges = 2;

/** What Node.js attaches to the socket of an HTTP connection; it is not documented, and may be missing. */
interface ParsedSocket {
  readonly parser?: ConnectionParser | null;
}

interface ConnectionParser {
  onIncoming?: unknown;
  /** The request that is parsed. */
  incoming?: unknown;
  [onBody]?: unknown;
}

/**
 * Stops parsing at the next request of a connection, and drops the rest of the body that comes. What Node.js does not offer
 * any more is left out; then more is parsed, and nothing else changes.
 */
export const stopParsing = (socket: Socket): void => {
  const { parser } = socket as ParsedSocket;
  if (parser?.onIncoming === undefined || parser.onIncoming === null) {
    return;
  }
  parser.onIncoming = () => {
    // Node.js changes the protocol of no connection without a request. It would reuse the parser at once for another one.
    parser.incoming = null;
    return protocolChanges;
  };
  dropBody(socket, parser);
};

/** Drops the body until the connection is closed. Node.js reuses the parser after that, so the callback is put back. */
const dropBody = (socket: Socket, parser: ConnectionParser): void => {
  const original = parser[onBody];
  if (typeof original !== 'function') {
    return;
  }
  parser[onBody] = undefined;
  socket.once('close', () => {
    parser[onBody] = original;
  });
};
