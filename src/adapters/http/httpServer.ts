/**
 * An HTTP server with bounds on connections, headers and slow senders, and a graceful close.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

const maxHeaderBytes = 8_192;
const maxHeaders = 64;
const headersTimeoutMs = 5_000;
const requestTimeoutMs = 15_000;
const keepAliveTimeoutMs = 30_000;

/** Serves one request; it must not reject. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

export interface HttpServerOptions {
  readonly host: string;
  /** 0 takes a free port. */
  readonly port: number;
  readonly maxConnections: number;
  readonly handle: RequestHandler;
}

export class HttpServer {
  private isClosing = false;
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
        keepAliveTimeout: keepAliveTimeoutMs,
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

  /** Stops accepting, lets open requests end, and closes each connection after its answer. */
  async close(): Promise<void> {
    this.isClosing = true;
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
  }

  /** Cuts every connection at once, as a killed process does. */
  async kill(): Promise<void> {
    const closed = this.close();
    this.server.closeAllConnections();
    await closed;
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    response.once('close', () => this.closeIdle());
    await this.options.handle(request, response);
  }

  /** An answer that was under way when the close began still kept its connection open. */
  private closeIdle(): void {
    if (this.isClosing) {
      setImmediate(() => this.server.closeIdleConnections());
    }
  }
}
