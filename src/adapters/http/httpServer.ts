/**
 * HTTP server with limits on connections, headers and slow clients, and with a graceful shutdown.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Server as NetServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { rejectRequest } from './rejectRequest.js';

const maxHeaderBytes = 8_192;
const maxHeaders = 64;
const headersTimeoutMs = 5_000;
const requestTimeoutMs = 15_000;
/** Announced to clients, so that they do not reuse a connection that was idle for this long. */
const defaultKeepAliveTimeoutMs = 5_000;
/** Time within which a client has to read a response after the server wrote it. */
const responseReadTimeoutMs = 20_000;

const badRequestStatus = 400;
const expectationFailedStatus = 417;

/** Handles one request and ends the response. If the promise rejects, the connection is dropped. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/** Takes over the connection of a request that asks for another protocol. */
export type UpgradeHandler = (request: IncomingMessage, socket: Duplex, head: Buffer) => void;

export interface HttpServerOptions {
  readonly host: string;
  /** 0 selects a free port. */
  readonly port: number;
  readonly maxConnections: number;
  /** Time after which an idle connection is closed, in milliseconds; 5 s by default. */
  readonly keepAliveTimeoutMs?: number;
  readonly handle: RequestHandler;
  /** Called when a connection is accepted; without a socket for one beyond the maximum, which is dropped. */
  readonly onConnection?: (socket: Socket | undefined) => void;
  /** Without it, requests for another protocol are dropped. */
  readonly onUpgrade?: UpgradeHandler;
  /**
   * Called with the error of a handler that rejected, whose connection is dropped afterwards, and with errors of
   * the listening socket.
   */
  readonly onError?: (reason: string) => void;
}

export class HttpServer {
  private isDraining = false;
  /** By connection, since Node.js does not report the end of a pipelined one whose connection closes before its turn. */
  private readonly openResponses = new Map<Socket, Set<ServerResponse>>();
  private listenAddress = '';
  private server!: Server;

  private constructor(private readonly options: HttpServerOptions) {}

  /**
   * Creates a server and starts listening; rejects if the address cannot be bound.
   *
   * @param options - address, limits and request handler
   * @returns the listening server
   */
  static async create(options: HttpServerOptions): Promise<HttpServer> {
    const httpServer = new HttpServer(options);
    httpServer.server = createServer(
      {
        maxHeaderSize: maxHeaderBytes,
        headersTimeout: headersTimeoutMs,
        requestTimeout: requestTimeoutMs,
        keepAliveTimeout: options.keepAliveTimeoutMs ?? defaultKeepAliveTimeoutMs,
        noDelay: true,
        // Checked here, since Node.js answers such requests without telling anyone, and parses the next ones.
        requireHostHeader: false,
      },
      (request, response) => void httpServer.serve(request, response),
    );
    httpServer.server.on('checkExpectation', (_request, response) => {
      rejectRequest(response, expectationFailedStatus);
      limitReadTime(response);
    });
    httpServer.server.maxHeadersCount = maxHeaders;
    httpServer.server.maxConnections = options.maxConnections;
    if (options.onConnection !== undefined) {
      const { onConnection } = options;
      httpServer.server.on('connection', onConnection);
      httpServer.server.on('drop', () => onConnection(undefined));
    }
    if (options.onUpgrade !== undefined) {
      const { onUpgrade } = options;
      httpServer.server.on('upgrade', (request, socket, head) => {
        httpServer.upgrade(onUpgrade, request, socket, head);
      });
    }
    await new Promise<void>((resolve, reject) => {
      httpServer.server.once('error', reject);
      httpServer.server.listen(options.port, options.host, () => {
        httpServer.server.off('error', reject);
        // The system may refuse to accept a connection, such as for want of memory; others follow.
        httpServer.server.on('error', (error) => options.onError?.(String(error)));
        resolve();
      });
    });
    const { port } = httpServer.server.address() as AddressInfo;
    httpServer.listenAddress = `${options.host}:${port}`;
    return httpServer;
  }

  /** @returns host and port, such as `127.0.0.1:4100` */
  get address(): string {
    return this.listenAddress;
  }

  /** From now on, closes each connection after its next response; new ones are still accepted. */
  drain(): void {
    this.isDraining = true;
    for (const responses of this.openResponses.values()) {
      responses.forEach((response) => (response.shouldKeepAlive = false));
    }
  }

  /**
   * Shuts down gracefully: accepts no new connections, and closes each open one after its response.
   * Idle connections are left to the keep-alive timeout announced to clients, so that a request that
   * a client has just sent on one is still answered.
   */
  async close(): Promise<void> {
    this.drain();
    await new Promise<void>((resolve) => {
      // `close` of `node:http` would close idle connections at once.
      NetServer.prototype.close.call(this.server, () => resolve());
    });
  }

  /** Closes the connections without an open request. */
  closeIdleConnections(): void {
    this.server.closeIdleConnections();
  }

  /** Drops every connection at once, as if the process were killed. */
  async kill(): Promise<void> {
    const closed = this.close();
    this.server.closeAllConnections();
    await closed;
  }

  private upgrade(
    onUpgrade: UpgradeHandler,
    request: IncomingMessage,
    socket: Duplex,
    head: Buffer,
  ): void {
    try {
      onUpgrade(request, socket, head);
    } catch (error) {
      // An error in one connection must not end the process.
      this.options.onError?.(String(error));
      socket.destroy();
    }
  }

  private addConnection(socket: Socket): Set<ServerResponse> {
    const open = new Set<ServerResponse>();
    this.openResponses.set(socket, open);
    socket.once('close', () => this.openResponses.delete(socket));
    return open;
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { socket } = request;
    if (socket.destroyed) {
      // It was parsed with an earlier one of its connection, which has been closed since.
      return;
    }
    if (request.headers.host === undefined && request.httpVersion === '1.1') {
      rejectRequest(response, badRequestStatus);
      limitReadTime(response);
      return;
    }
    const open = this.openResponses.get(socket) ?? this.addConnection(socket);
    open.add(response);
    response.once('close', () => open.delete(response));
    if (this.isDraining) {
      response.shouldKeepAlive = false;
    }
    try {
      await this.options.handle(request, response);
    } catch (error) {
      // An error in one handler must not end the process.
      this.options.onError?.(String(error));
      response.destroy();
    }
    if (open.has(response) && (response.socket?.writableLength ?? 0) > 0) {
      limitReadTime(response);
    }
  }
}

/** Drops the connection if the client does not read the response in time. */
const limitReadTime = (response: ServerResponse): void => {
  const timer = setTimeout(() => response.destroy(), responseReadTimeoutMs);
  response.once('close', () => clearTimeout(timer));
};
