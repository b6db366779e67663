/**
 * Tells when a client leaves before it has its response.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { onceOver } from './requestEnd.js';

/**
 * Returns a signal that is aborted when the client leaves before it has its response. The end of what it sends, or the
 * reset of the connection, is read a turn of the event loop before the connection counts as closed.
 */
export const abortedWhenClientLeaves = (
  request: IncomingMessage,
  response: ServerResponse,
): AbortSignal => {
  const { socket } = request;
  const clientGone = new AbortController();
  const leave = (): void => {
    if (!response.writableFinished) {
      clientGone.abort();
    }
  };
  socket.once('end', leave);
  socket.once('error', leave);
  onceOver(request, response, () => {
    socket.off('end', leave);
    socket.off('error', leave);
    leave();
  });
  return clientGone.signal;
};
