/**
 * A proxy on the loopback interface whose link can be delayed, reset, cut one way or silenced. What a
 * cut link holds back arrives when it heals, as TCP would send it again.
 */
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { unreachable } from '../src/errors/unreachable.js';
import { createDeferred } from '../src/utils/deferred.js';
import type { Deferred } from '../src/utils/deferred.js';

const host = '127.0.0.1';

export type LinkFault =
  | { readonly kind: 'none' }
  | { readonly kind: 'delayed'; readonly delayMs: number }
  /** Nothing reaches the server; its answers arrive. */
  | { readonly kind: 'cut-requests' }
  /** The server hears everything; nobody hears it. */
  | { readonly kind: 'cut-answers' }
  | { readonly kind: 'silent' };

type Direction = 'requests' | 'answers';

export class FaultyProxy {
  private fault: LinkFault = { kind: 'none' };
  private changed: Deferred<void> = createDeferred();
  private readonly sockets = new Set<Socket>();

  private constructor(
    private readonly server: Server,
    private readonly target: () => string,
  ) {
    server.on('connection', (client) => this.serve(client));
  }

  /**
   * @param target - IP number and port that new connections go to
   */
  static async create(target: () => string): Promise<FaultyProxy> {
    const server = createServer({ allowHalfOpen: true });
    const proxy = new FaultyProxy(server, target);
    await new Promise<void>((resolve) => server.listen(0, host, resolve));
    return proxy;
  }

  /** @returns IP number and port that stand for the server */
  get address(): string {
    return `${host}:${(this.server.address() as AddressInfo).port}`;
  }

  setFault(fault: LinkFault): void {
    this.fault = fault;
    this.changed.resolve();
    this.changed = createDeferred();
  }

  /** Resets every open connection. */
  resetAll(): void {
    this.sockets.forEach((socket) => socket.resetAndDestroy());
  }

  async close(): Promise<void> {
    this.setFault({ kind: 'none' });
    this.sockets.forEach((socket) => socket.destroy());
    await new Promise((resolve) => this.server.close(resolve));
  }

  private serve(client: Socket): void {
    const [targetHost, port] = this.target().split(':');
    const upstream = connect({ host: targetHost, port: Number(port), allowHalfOpen: true });
    void this.pump(client, upstream, 'requests');
    void this.pump(upstream, client, 'answers');
  }

  /** Carries the bytes of one direction until the sender ends. */
  private async pump(from: Socket, to: Socket, direction: Direction): Promise<void> {
    this.sockets.add(from);
    from.on('error', () => undefined);
    from.once('close', () => this.sockets.delete(from));
    try {
      for await (const chunk of from) {
        await this.passLink(direction);
        to.write(chunk as Buffer);
      }
      await this.passLink(direction);
      to.end();
    } catch {
      // The sender's connection broke; the other side learns it as soon as the link lets it.
      await this.passLink(direction);
      to.destroy();
    }
  }

  /** Waits until the link carries a direction. */
  private async passLink(direction: Direction): Promise<void> {
    while (holdsBack(this.fault, direction)) {
      await this.changed.promise;
    }
    if (this.fault.kind === 'delayed') {
      const { delayMs } = this.fault;
      await sleep(delayMs);
    }
  }
}

const holdsBack = (fault: LinkFault, direction: Direction): boolean => {
  switch (fault.kind) {
    case 'none':
    case 'delayed':
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
