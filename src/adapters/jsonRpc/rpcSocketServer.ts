/**
 * Serves JSON-RPC 2.0 calls over WebSocket connections. Each call is answered when its method has ended,
 * so that answers may leave in another order than their calls came.
 */
import type { IncomingMessage } from 'node:http';
import { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import type { JSONRPCServer } from 'json-rpc-2.0';
import { WebSocket, WebSocketServer } from 'ws';
import { parseJson } from '../../utils/parseJson.js';
import { callSchema } from './jsonRpcCall.js';

const maxCallBytes = 4_194_304;
/** Time without data after which a connection is probed, in milliseconds. */
const keepAliveMs = 30_000;
/** A connection is dropped while this many bytes of answers wait to be sent. */
const maxBufferedBytes = 33_554_432;

export interface RpcSocketServerOptions {
  /** Server with the registered methods. */
  readonly rpc: JSONRPCServer;
  /** The only path that is served. */
  readonly path: string;
  /** Called with the reason when a connection is dropped because of what its peer sent. */
  readonly onError: (reason: string) => void;
}

export class RpcSocketServer {
  private readonly server: WebSocketServer;

  private constructor(private readonly options: RpcSocketServerOptions) {
    this.server = new WebSocketServer({
      noServer: true,
      path: options.path,
      maxPayload: maxCallBytes,
      perMessageDeflate: false,
    });
  }

  static create(options: RpcSocketServerOptions): RpcSocketServer {
    return new RpcSocketServer(options);
  }

  /** Takes over the connection of a request that asks for a WebSocket. */
  accept(request: IncomingMessage, connection: Duplex, head: Buffer): void {
    connection.on('error', () => connection.destroy());
    if (connection instanceof Socket) {
      // Otherwise the connections of VMs that lost power would stay for ever.
      connection.setKeepAlive(true, keepAliveMs);
    }
    if (!this.server.shouldHandle(request)) {
      connection.end('HTTP/1.1 404 Not Found\r\nconnection: close\r\ncontent-length: 0\r\n\r\n');
      return;
    }
    this.server.handleUpgrade(request, connection, head, (socket) => this.serve(socket));
  }

  /** Drops every connection at once. */
  close(): void {
    this.server.clients.forEach((socket) => socket.terminate());
    this.server.close();
  }

  private serve(socket: WebSocket): void {
    socket.on('error', (error) => this.options.onError(String(error)));
    socket.on('message', (data: Buffer) => {
      this.answer(socket, data).catch((error: unknown) => {
        // An error in one call must not end the process.
        this.options.onError(String(error));
        socket.terminate();
      });
    });
  }

  /** Runs one call and sends its answer; a message that is no call ends the connection. */
  private async answer(socket: WebSocket, data: Buffer): Promise<void> {
    const call = callSchema.safeParse(parseJson(data));
    if (!call.success) {
      this.options.onError('A message is not a JSON-RPC call.');
      socket.terminate();
      return;
    }
    const response = await this.options.rpc.receive(call.data);
    if (socket.readyState !== WebSocket.OPEN) {
      return;
    }
    if (socket.bufferedAmount > maxBufferedBytes) {
      this.options.onError('The peer does not read its answers.');
      socket.terminate();
      return;
    }
    socket.send(JSON.stringify(response));
  }
}
