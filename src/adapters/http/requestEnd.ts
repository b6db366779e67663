/**
 * Tells when a request is over.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

/**
 * Calls a function once, when the response was sent or the connection is closed. Node.js does not report the end of a
 * pipelined request whose connection is closed before its response has reached the head of the queue.
 */
export const onceOver = (
  { socket }: IncomingMessage,
  response: ServerResponse,
  callback: () => void,
): void => {
  const onSocketClose = (): void => {
    response.off('close', onResponseClose);
    callback();
  };
  const onResponseClose = (): void => {
    socket.off('close', onSocketClose);
    callback();
  };
  socket.once('close', onSocketClose);
  response.once('close', onResponseClose);
};
