/**
 * A proxy between the daemons and one worker that can hold an order back: its sender gets no answer, and the order is
 * carried out later.
 */
import { createServer, request as httpRequest } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

/** An order to the worker. */
export interface ProxiedOrder {
  readonly path: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: Buffer;
}

/** An answer of the worker; none, if it is down. */
export interface ProxiedAnswer {
  readonly status: number;
  readonly body: Buffer;
}

/** @returns for how long an order is held back, in milliseconds; undefined for one that is passed on at once */
export type HoldBack = (order: ProxiedOrder) => number | undefined;

export class OrderProxy {
  private constructor(
    private readonly server: Server,
    private readonly target: () => string,
    private readonly holdBack: HoldBack,
    /** Called when an order that was held back was delivered. */
    private readonly onDelivered: (order: ProxiedOrder, answer: ProxiedAnswer | undefined) => void,
  ) {}

  /** Starts a proxy on a free port of the loopback interface. */
  static async create(
    target: () => string,
    holdBack: HoldBack,
    onDelivered: (order: ProxiedOrder, answer: ProxiedAnswer | undefined) => void,
  ): Promise<OrderProxy> {
    const server = createServer({ keepAliveTimeout: 60_000 });
    const proxy = new OrderProxy(server, target, holdBack, onDelivered);
    server.on('request', (request, response) => void proxy.serve(request, response));
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    return proxy;
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    for await (const chunk of request) {
      chunks.push(chunk as Buffer);
    }
    const { headers, url: path = '' } = request;
    const order: ProxiedOrder = { path, headers, body: Buffer.concat(chunks) };
    const delayMs = this.holdBack(order);
    if (delayMs !== undefined) {
      await sleep(delayMs);
      this.onDelivered(order, await this.passOn(order));
      return;
    }
    const answer = await this.passOn(order);
    if (answer === undefined) {
      request.socket.destroy();
      return;
    }
    response.writeHead(answer.status, { 'content-type': 'application/json' });
    response.end(answer.body);
  }

  /** Sends an order to the worker. */
  private passOn({ path, headers, body }: ProxiedOrder): Promise<ProxiedAnswer | undefined> {
    const [host, port] = this.target().split(':');
    return new Promise((resolve) => {
      const passed = httpRequest(
        { host, port, path, method: 'POST', headers: { ...headers, host: this.target() } },
        (reply) => {
          const chunks: Buffer[] = [];
          reply.on('data', (chunk: Buffer) => chunks.push(chunk));
          reply.on('error', () => resolve(undefined));
          reply.on('end', () =>
            resolve({ status: reply.statusCode ?? 0, body: Buffer.concat(chunks) }),
          );
        },
      );
      passed.on('error', () => resolve(undefined));
      passed.end(body);
    });
  }
}
