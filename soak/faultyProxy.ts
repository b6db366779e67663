/**
 * A TCP proxy on the loopback interface that can delay, reset, refuse or block its connections, the last in
 * one direction or both. Blocked bytes arrive when the fault is healed, as if TCP retransmitted them.
 */
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { unreachable } from '../src/errors/unreachable.js';
import { createDeferred } from '../src/utils/deferred.js';
import type { Deferred } from '../src/utils/deferred.js';

/** A fault of every connection of the proxy. */
export type LinkFault =
  | { readonly kind: 'none' }
  | { readonly kind: 'delayed'; readonly delayMs: number }
  /** Requests are blocked; answers still arrive. */
  | { readonly kind: 'cut-requests' }
  /** Requests arrive; answers are blocked. */
  | { readonly kind: 'cut-answers' }
  /** Both directions are blocked; connections stay open. */
  | { readonly kind: 'silent' }
  /** Connections are reset as soon as they are open. */
  | { readonly kind: 'resetting' }
  /** Open connections are reset, and nothing listens. */
  | { readonly kind: 'refused' };

type Direction = 'requests' | 'answers';

export class FaultyProxy {
  private fault: LinkFault = { kind: 'none' };
  /** Resolves at the next change of the fault. */
  private faultChanged: Deferred<void> = createDeferred();
  /** Open sockets of both sides. */
  private readonly sockets = new Set<Socket>();

  /** Port that the proxy listens on, the same after each fault. */
  private port = 0;

  private constructor(
    private readonly server: Server,
    private readonly host: string,
    private readonly target: () => string,
  ) {
    server.on('connection', (client) => this.forwardConnection(client));
  }

  /**
   * Starts a proxy on a free port.
   *
   * @param host - a loopback address
   * @param target - returns the IP address and port that a new connection is forwarded to
   */
  static async create(host: string, target: () => string): Promise<FaultyProxy> {
    const server = createServer({ allowHalfOpen: true });
    const proxy = new FaultyProxy(server, host, target);
    await new Promise<void>((resolve) => server.listen(0, host, resolve));
    proxy.port = (server.address() as AddressInfo).port;
    return proxy;
  }

  /** @returns IP address and port of the proxy */
  get address(): string {
    return `${this.host}:${this.port}`;
  }

  /** Replaces the fault, also for open connections. */
  setFault(fault: LinkFault): void {
    this.fault = fault;
    if (fault.kind === 'resetting' || fault.kind === 'refused') {
      this.resetConnections();
    }
    if (fault.kind === 'refused') {
      this.server.close();
    } else if (!this.server.listening) {
      this.server.listen(this.port, this.host);
    }
    this.faultChanged.resolve();
    this.faultChanged = createDeferred();
  }

  /** Resets every open connection with a TCP RST. */
  resetConnections(): void {
    this.sockets.forEach((socket) => socket.resetAndDestroy());
  }

  async close(): Promise<void> {
    this.setFault({ kind: 'none' });
    this.sockets.forEach((socket) => socket.destroy());
    await new Promise((resolve) => this.server.close(resolve));
  }

  private forwardConnection(client: Socket): void {
    if (this.fault.kind === 'resetting') {
      client.resetAndDestroy();
      return;
    }
    const [targetHost, port] = this.target().split(':');
    const upstream = connect({ host: targetHost, port: Number(port), allowHalfOpen: true });
    void this.pump(client, upstream, 'requests');
    void this.pump(upstream, client, 'answers');
  }

  /** Copies the bytes of one direction until the sender closes its side. */
  private async pump(from: Socket, to: Socket, direction: Direction): Promise<void> {
    this.sockets.add(from);
    from.on('error', () => undefined);
    from.once('close', () => this.sockets.delete(from));
    try {
      for await (const chunk of from) {
        await this.waitForLink(direction);
        to.write(chunk as Buffer);
      }
      await this.waitForLink(direction);
      to.end();
    } catch {
      // The sender's connection broke; the receiver sees that once its direction is not blocked.
      await this.waitForLink(direction);
      to.destroy();
    }
  }

  /** Waits until a direction is not blocked, and then for the delay, if any. */
  private async waitForLink(direction: Direction): Promise<void> {
    while (isBlocked(this.fault, direction)) {
      await this.faultChanged.promise;
    }
    if (this.fault.kind === 'delayed') {
      const { delayMs } = this.fault;
      await sleep(delayMs);
    }
  }
}

const isBlocked = (fault: LinkFault, direction: Direction): boolean => {
  switch (fault.kind) {
    case 'none':
    case 'delayed':
    case 'resetting':
    case 'refused':
      return false;
    case 'cut-requests':
      return direction === 'requests';
    case 'cut-answers':
      return direction === 'answers';
    case 'silent':
      return true;
    default:
      return unreachable(fault);
  }
};
