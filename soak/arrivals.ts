/**
 * What a socket receives, with the time at which it arrived, so that it can be passed on late and in order.
 */
import type { Socket } from 'node:net';
import { ReadableStream } from 'node:stream/web';

/** Something that a socket has received. */
export type Arrival =
  | { readonly kind: 'bytes'; readonly bytes: Buffer; readonly atMs: number }
  /** The sender has closed its side. */
  | { readonly kind: 'end'; readonly atMs: number }
  /** The connection broke. */
  | { readonly kind: 'broken'; readonly atMs: number };

/**
 * Reads a socket from now on, also while nothing is passed on, so that the times are those of the arrivals.
 *
 * @returns all arrivals; the last one is an `end` or a `broken`
 */
export const readArrivals = (socket: Socket): ReadableStream<Arrival> =>
  new ReadableStream({
    start: (controller) => {
      let isOver = false;
      const finish = (kind: 'end' | 'broken'): void => {
        if (isOver) {
          return;
        }
        isOver = true;
        controller.enqueue({ kind, atMs: performance.now() });
        controller.close();
      };
      socket.on('data', (bytes: Buffer) => {
        controller.enqueue({ kind: 'bytes', bytes, atMs: performance.now() });
      });
      socket.once('end', () => finish('end'));
      socket.once('close', () => finish('broken'));
    },
  });
