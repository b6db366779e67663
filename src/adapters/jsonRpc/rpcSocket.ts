/**
 * JSON-RPC 2.0 calls over one WebSocket connection, which carries many calls at the same time.
 */
import { JSONRPCClient, JSONRPCErrorException, createJSONRPCErrorResponse } from 'json-rpc-2.0';
import type { JSONRPCID, JSONRPCResponse } from 'json-rpc-2.0';
import { Err } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { WebSocket } from 'ws';
import type { PeerError } from '../../ports/peers.js';
import { parseJson } from '../../utils/parseJson.js';
import { responseSchema } from './jsonRpcCall.js';
import { decodeReply, toPeerError } from './typedJsonRpcClient.js';
import type { CallResult, MethodTable, MethodParams } from './typedJsonRpcClient.js';

const connectTimeoutMs = 1_000;
/** Longest wait of a call for a new connection, in milliseconds; another peer may take the work. */
const maxConnectWaitMs = 300;
const maxReplyBytes = 33_554_432;
/**
 * A connection on which a call has timed out is dropped if nothing arrived on it for this long, in
 * milliseconds: connections may go silent without being reset.
 */
const maxSilenceMs = 500;
/** Calls are not sent while this many bytes wait to be sent. */
const maxBufferedBytes = 4_194_304;

/** Error code of the responses that stand for answers that did not come in time; peers don't use it. */
const timeoutCode = -32_099;

const createTimeoutResponse = (id: JSONRPCID) =>
  createJSONRPCErrorResponse(id, timeoutCode, 'The time for the answer is over.');

/** State of the connection. `unsupported`: the peer serves no WebSocket at the path. */
export type RpcSocketState = 'connecting' | 'open' | 'closed' | 'unsupported';

export class RpcSocket<T extends MethodTable> {
  private currentState: RpcSocketState = 'connecting';
  private lastReceivedAtMs = performance.now();
  private closeReason = 'The connection was closed.';
  /** Whether no process listens at the address. */
  private isNobodyThere = false;
  private lastCallId = 0;
  private readonly socket: WebSocket;
  private readonly client: JSONRPCClient;
  /** Resolves when the connection is open or has failed. */
  private readonly connected: Promise<void>;

  private constructor(
    url: string,
    private readonly methods: T,
  ) {
    this.client = new JSONRPCClient(
      (call) => this.socket.send(JSON.stringify(call)),
      () => (this.lastCallId += 1),
    );
    this.socket = new WebSocket(url, {
      handshakeTimeout: connectTimeoutMs,
      maxPayload: maxReplyBytes,
      perMessageDeflate: false,
    });
    this.connected = new Promise((resolve) => {
      this.socket.once('open', () => {
        this.currentState = 'open';
        this.lastReceivedAtMs = performance.now();
        resolve();
      });
      this.socket.once('close', () => {
        this.handleClose();
        resolve();
      });
    });
    this.socket.once('unexpected-response', () => {
      this.currentState = 'unsupported';
      this.socket.terminate();
    });
    this.socket.on('error', (error) => {
      this.closeReason = String(error);
      this.isNobodyThere = 'code' in error && error.code === 'ECONNREFUSED';
    });
    this.socket.on('message', (data: Buffer) => this.receiveSafely(data));
  }

  /**
   * Connects to a peer; calls wait for the connection.
   *
   * @param url - such as `ws://127.0.0.1:7000/fleet/v2`
   * @param methods - schemas of the methods
   */
  static create<T extends MethodTable>(url: string, methods: T): RpcSocket<T> {
    return new RpcSocket(url, methods);
  }

  get state(): RpcSocketState {
    return this.currentState;
  }

  /**
   * Calls a method of the peer.
   *
   * @param method - name of the method in the table
   * @param params - parameters, before defaults are applied
   * @param timeoutMs - time for the answer, and at most for a new connection before
   * @returns the validated result, or an error: `not-sent` if the peer received nothing, `refused` if
   *   it responded with an error, `broken` if it may have acted
   */
  async call<M extends keyof T & string>(
    method: M,
    params: MethodParams<T, M>,
    timeoutMs: number,
  ): Promise<Result<CallResult<T, M>, PeerError>> {
    if (this.currentState === 'connecting') {
      await this.waitForConnection(timeoutMs);
    }
    if (this.currentState !== 'open' || this.socket.bufferedAmount > maxBufferedBytes) {
      const { closeReason: detail, isNobodyThere } = this;
      return Err({ kind: 'not-sent', detail, ...(isNobodyThere ? { isNobodyThere } : {}) });
    }
    try {
      const reply = await this.request(method, params, timeoutMs);
      return decodeReply(this.methods, method, reply);
    } catch (error) {
      const peerError = this.toCallError(error);
      this.dropIfSilent();
      return Err(peerError);
    }
  }

  close(): void {
    this.socket.terminate();
  }

  /**
   * Sends a call and waits for its answer. When its time is over, the sockets are read once more: timers that are overdue
   * since this process stood still come before the answers that arrived meanwhile.
   */
  private async request(method: string, params: unknown, timeoutMs: number): Promise<unknown> {
    const reply = this.client.request(method, params);
    const id = this.lastCallId;
    const giveUp = () => this.client.receive(createTimeoutResponse(id));
    const timer = setTimeout(() => setImmediate(giveUp), timeoutMs);
    try {
      return await reply;
    } finally {
      clearTimeout(timer);
    }
  }

  /** Waits until the connection is open, has failed, or the time is over. */
  private async waitForConnection(timeoutMs: number): Promise<void> {
    let timer: NodeJS.Timeout | undefined;
    const isOver = new Promise<void>((resolve) => {
      timer = setTimeout(resolve, Math.min(timeoutMs, maxConnectWaitMs));
    });
    await Promise.race([this.connected, isOver]);
    clearTimeout(timer);
  }

  /** An error in what one peer sent ends the connection, not the process. */
  private receiveSafely(data: Buffer): void {
    try {
      this.receive(data);
    } catch (error) {
      this.closeReason = String(error);
      this.socket.terminate();
    }
  }

  private receive(data: Buffer): void {
    this.lastReceivedAtMs = performance.now();
    const response = responseSchema.safeParse(parseJson(data));
    if (!response.success) {
      this.closeReason = 'The peer sent a message that is not a JSON-RPC response.';
      this.socket.terminate();
      return;
    }
    this.client.receive(response.data as JSONRPCResponse);
  }

  /** Tells errors that the peer answered from those that the client makes when there is no answer. */
  private toCallError(error: unknown): PeerError {
    const isUnanswered =
      this.currentState !== 'open' ||
      (error instanceof JSONRPCErrorException && error.code === timeoutCode);
    return isUnanswered ? { kind: 'broken', detail: String(error) } : toPeerError(error);
  }

  private dropIfSilent(): void {
    if (performance.now() - this.lastReceivedAtMs > maxSilenceMs) {
      this.closeReason = 'The connection went silent.';
      this.socket.terminate();
    }
  }

  private handleClose(): void {
    if (this.currentState !== 'unsupported') {
      this.currentState = 'closed';
    }
    this.client.rejectAllPendingRequests(this.closeReason);
  }
}
