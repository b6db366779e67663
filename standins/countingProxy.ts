/**
 * A TCP proxy that counts the bytes that it forwards.
 */
import { createConnection, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { splitAddress } from '../src/config/settings.js';

const host = '127.0.0.1';

export class CountingProxy {
  private countedBytes = 0;
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;

  private constructor(private readonly target: string) {
    this.server = createServer((socket) => this.connect(socket));
  }

  /**
   * Starts a proxy on a free port.
   *
   * @param target - IP address and port to which connections are forwarded
   */
  static async create(target: string): Promise<CountingProxy> {
    const proxy = new CountingProxy(target);
    await new Promise<void>((resolve) => proxy.server.listen(0, host, resolve));
    return proxy;
  }

  /** @returns IP address and port of the proxy */
  get address(): string {
    return `${host}:${(this.server.address() as AddressInfo).port}`;
  }

  /** @returns payload bytes forwarded so far in both directions, without TCP and IP headers */
  get bytes(): number {
    return this.countedBytes;
  }

  async close(): Promise<void> {
    this.sockets.forEach((socket) => socket.destroy());
    await new Promise<void>((resolve) => this.server.close(() => resolve()));
  }

  private connect(incoming: Socket): void {
    const outgoing = createConnection(splitAddress(this.target));
    this.pass(incoming, outgoing);
    this.pass(outgoing, incoming);
  }

  /** Forwards one direction of a connection; closes the other side when this one ends. */
  private pass(from: Socket, to: Socket): void {
    this.sockets.add(from);
    from.on('data', (chunk: Buffer) => {
      this.countedBytes += chunk.length;
      to.write(chunk);
    });
    from.on('error', () => to.destroy());
    from.on('close', () => {
      this.sockets.delete(from);
      to.destroy();
    });
  }
}
