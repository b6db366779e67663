/**
 * Starts the HTTP server of a stand-in.
 */
import { HttpServer } from '../../src/adapters/http/httpServer.js';
import type { RequestHandler } from '../../src/adapters/http/httpServer.js';

const keepAliveTimeoutMs = 30_000;

/** Listens on a free port of the loopback interface. */
export const listenOnLoopback = (
  maxConnections: number,
  handle: RequestHandler,
): Promise<HttpServer> =>
  HttpServer.create({ host: '127.0.0.1', port: 0, maxConnections, keepAliveTimeoutMs, handle });
