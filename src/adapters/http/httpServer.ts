/**
 * An HTTP server with bounds on connections, headers and slow senders, and a graceful close.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Server as NetServer } from 'node:net';
import type { AddressInfo } from 'node:net';

const maxHeaderBytes = 8_192;
const maxHeaders = 64;
const headersTimeoutMs = 5_000;
const requestTimeoutMs = 15_000;
/** Sent to clients, which then do not reuse a connection that was idle for as long. */
const defaultKeepAliveTimeoutMs = 5_000;
/** Time that a client has to read an answer once it is written. */
const readTimeoutMs = 20_000;

/** Serves one request; where it rejects, the connection is cut. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

export interface HttpServerOptions {
  readonly host: string;
  /** 0 takes a free port. */
  readonly port: number;
  readonly maxConnections: number;
  /** Time after which an idle connection is closed; 5 s by default. */
  readonly keepAliveTimeoutMs?: number;
  readonly handle: RequestHandler;
  /** Called when serving a request has failed; its connection is then cut. */
  readonly onFault?: (reason: string) => void;
}

export class HttpServer {
  private isClosing = false;
  private readonly openResponses = new Set<ServerResponse>();
  private listening = '';
  private server!: Server;

  private constructor(private readonly options: HttpServerOptions) {}

  /**
   * Starts to listen.
   *
   * @param options - where to listen and what serves the requests
   * @returns the listening server
   */
  static async create(options: HttpServerOptions): Promise<HttpServer> {
    const http = new HttpServer(options);
    http.server = createServer(
      {
        maxHeaderSize: maxHeaderBytes,
        headersTimeout: headersTimeoutMs,
        requestTimeout: requestTimeoutMs,
        keepAliveTimeout: options.keepAliveTimeoutMs ?? defaultKeepAliveTimeoutMs,
        noDelay: true,
      },
      (request, response) => void http.serve(request, response),
    );
    http.server.maxHeadersCount = maxHeaders;
    http.server.maxConnections = options.maxConnections;
    await new Promise<void>((resolve, reject) => {
      http.server.once('error', reject);
      http.server.listen(options.port, options.host, resolve);
    });
    const { port } = http.server.address() as AddressInfo;
    http.listening = `${options.host}:${port}`;
    return http;
  }

  /** @returns IP number and port, such as `127.0.0.1:4100` */
  get address(): string {
    return this.listening;
  }

  /** Closes each connection with its next answer from now on; new ones are still accepted. */
  drain(): void {
    this.isClosing = true;
    for (const response of this.openResponses) {
      response.shouldKeepAlive = false;
    }
  }

  /**
   * Stops as planned: accepts no connection, answers every open request and closes its connection.
   * Idle connections end by the keep-alive timeout that the clients know, so no request that a
   * client has just sent on one is cut off.
   */
  async close(): Promise<void> {
    this.drain();
    await new Promise<void>((resolve) => {
      // The close of `node:http` would cut idle connections at once.
      NetServer.prototype.close.call(this.server, () => resolve());
    });
  }

  /** Closes the connections on which no request has been read that is not answered. */
  closeIdle(): void {
    this.server.closeIdleConnections();
  }

  /** Cuts every connection at once, as a killed process does. */
  async kill(): Promise<void> {
    const closed = this.close();
    this.server.closeAllConnections();
    await closed;
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.openResponses.add(response);
    response.once('close', () => this.openResponses.delete(response));
    if (this.isClosing) {
      response.shouldKeepAlive = false;
    }
    try {
      await this.options.handle(request, response);
    } catch (error) {
      // A fault while serving one request must not end the process.
      this.options.onFault?.(String(error));
      response.destroy();
    }
    if (this.openResponses.has(response) && (response.socket?.writableLength ?? 0) > 0) {
      boundReadTime(response);
    }
  }
}

/** Cuts the connection of a client that does not read its answer. */
const boundReadTime = (response: ServerResponse): void => {
  const timer = setTimeout(() => response.destroy(), readTimeoutMs);
  response.once('close', () => clearTimeout(timer));
};
