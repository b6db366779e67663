/**
 * A TCP proxy on the loopback interface that can delay, reset, refuse or block its connections, the last in
 * one direction or both. Blocked bytes arrive when the fault is healed, as if TCP retransmitted them. What clients
 * send can also arrive late, or lack the end of the connection.
 */
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { unreachable } from '../src/errors/unreachable.js';
import { createDeferred } from '../src/utils/deferred.js';
import type { Deferred } from '../src/utils/deferred.js';
import { readArrivals } from './arrivals.js';
import type { Arrival } from './arrivals.js';

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
  | { readonly kind: 'refused' }
  /** Connections, requests and their ends arrive late, in their order; answers arrive at once. */
  | { readonly kind: 'late-requests'; readonly delayMs: number }
  /** The end of a client's connection is lost for good; the connection to the target stays open. */
  | { readonly kind: 'lost-ends' };

type Direction = 'requests' | 'answers';

export class FaultyProxy {
  private fault: LinkFault = { kind: 'none' };
  /** Resolves at the next change of the fault. */
  private faultChanged: Deferred<void> = createDeferred();
  /** Open sockets of both sides. */
  private readonly sockets = new Set<Socket>();

  /** Port that the proxy listens on, the same after each fault. */
  private port = 0;
  private isClosed = false;

  private constructor(
    private readonly server: Server,
    private readonly host: string,
    private readonly target: () => string,
  ) {
    server.on('connection', (client) => void this.forwardConnection(client));
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
    this.sockets.forEach((socket) => resetSocket(socket));
  }

  async close(): Promise<void> {
    this.isClosed = true;
    this.setFault({ kind: 'none' });
    this.sockets.forEach((socket) => socket.destroy());
    await new Promise((resolve) => this.server.close(resolve));
  }

  private async forwardConnection(client: Socket): Promise<void> {
    if (this.fault.kind === 'resetting') {
      resetSocket(client);
      return;
    }
    const openedAtMs = performance.now();
    const requests = this.receive(client);
    await this.waitUntilDue('requests', openedAtMs);
    if (this.isClosed) {
      return;
    }
    const [targetHost, port] = this.target().split(':');
    const upstream = connect({ host: targetHost, port: Number(port), allowHalfOpen: true });
    void this.pump(requests, upstream, 'requests');
    void this.pump(this.receive(upstream), client, 'answers');
  }

  /** Reads what a socket receives, and keeps the socket among the open ones until it is closed. */
  private receive(socket: Socket): AsyncIterable<Arrival> {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => this.sockets.delete(socket));
    return readArrivals(socket);
  }

  /** Passes on what arrives in one direction until the sender closes its side or the connection breaks. */
  private async pump(
    arrivals: AsyncIterable<Arrival>,
    to: Socket,
    direction: Direction,
  ): Promise<void> {
    for await (const arrival of arrivals) {
      await this.waitForLink(direction, arrival.atMs);
      this.passOn(arrival, to, direction);
    }
  }

  private passOn(arrival: Arrival, to: Socket, direction: Direction): void {
    const isEndLost = direction === 'requests' && this.fault.kind === 'lost-ends';
    switch (arrival.kind) {
      case 'bytes':
        to.write(arrival.bytes);
        return;
      case 'end':
        if (!isEndLost) {
          to.end();
        }
        return;
      case 'broken':
        if (!isEndLost) {
          to.destroy();
        }
        return;
      default:
        unreachable(arrival);
    }
  }

  /** Waits until a direction is not blocked, and then for the delay, if any. */
  private async waitForLink(direction: Direction, arrivedAtMs: number): Promise<void> {
    while (isBlocked(this.fault, direction)) {
      await this.faultChanged.promise;
    }
    if (this.fault.kind === 'delayed') {
      const { delayMs } = this.fault;
      await sleep(delayMs);
    }
    await this.waitUntilDue(direction, arrivedAtMs);
  }

  /** Waits until what has arrived is as late as the fault makes it. */
  private async waitUntilDue(direction: Direction, arrivedAtMs: number): Promise<void> {
    if (direction === 'requests' && this.fault.kind === 'late-requests') {
      await sleep(Math.max(0, arrivedAtMs + this.fault.delayMs - performance.now()));
    }
  }
}

/** Resets a connection. Node.js never closes one that it resets while its end is on the way, so it is only closed. */
const resetSocket = (socket: Socket): void => {
  const isEnding = socket.writableEnded && !socket.writableFinished;
  if (isEnding) {
    socket.destroy();
    return;
  }
  socket.resetAndDestroy();
};

const isBlocked = (fault: LinkFault, direction: Direction): boolean => {
  switch (fault.kind) {
    case 'none':
    case 'delayed':
    case 'resetting':
    case 'refused':
    case 'late-requests':
    case 'lost-ends':
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
