/**
 * Client side of the interface between the daemons of a fleet: JSON-RPC 2.0 over one WebSocket
 * connection to each daemon.
 */
import type { Result } from 'ts-results-es';
import type { BatchReply } from '../../types/dispatch.js';
import type { FleetHeartbeat } from '../../types/fleet.js';
import { fleetMethods } from '../../ports/fleetPeers.js';
import type {
  BatchRequest,
  CancellationReply,
  FleetConnector,
  FleetLink,
  BatchWithdrawal,
  HolderAnswer,
  JobCancellationRequest,
  JobQuestion,
} from '../../ports/fleetPeers.js';
import type { PeerError } from '../../ports/peers.js';
import type { Routing } from '../../types/routing.js';
import { RpcSocket } from '../jsonRpc/rpcSocket.js';
import { TypedJsonRpcClient } from '../jsonRpc/typedJsonRpcClient.js';
import type { CallResult, MethodParams } from '../jsonRpc/typedJsonRpcClient.js';
import { fleetHttpPath, fleetSocketPath } from './fleetRpcPath.js';

class FleetRpcLink implements FleetLink {
  /** The last connection; replaced by a new one at the first call after its end. */
  private socket: RpcSocket<typeof fleetMethods> | undefined;
  /** Client for a daemon of an earlier version, which serves HTTP only. */
  private httpClient: TypedJsonRpcClient<typeof fleetMethods> | undefined;

  constructor(private readonly address: string) {}

  beat(own: FleetHeartbeat, timeoutMs: number): Promise<Result<FleetHeartbeat, PeerError>> {
    return this.call('beat', own, timeoutMs);
  }

  runBatch(request: BatchRequest, timeoutMs: number): Promise<Result<BatchReply, PeerError>> {
    return this.call('runBatch', request, timeoutMs);
  }

  withdrawBatch(
    withdrawal: BatchWithdrawal,
    timeoutMs: number,
  ): Promise<Result<unknown, PeerError>> {
    return this.call('withdrawBatch', withdrawal, timeoutMs);
  }

  cancelJob(
    cancellation: JobCancellationRequest,
    timeoutMs: number,
  ): Promise<Result<CancellationReply, PeerError>> {
    return this.call('cancelJob', cancellation, timeoutMs);
  }

  awaitJob(question: JobQuestion, timeoutMs: number): Promise<Result<HolderAnswer, PeerError>> {
    return this.call('awaitJob', question, timeoutMs);
  }

  async fetchRouting(timeoutMs: number): Promise<Result<Routing | null, PeerError>> {
    const reply = await this.call('fetchRouting', {}, timeoutMs);
    return reply.map(({ routing }) => routing);
  }

  async close(): Promise<void> {
    this.socket?.close();
    await this.httpClient?.close();
  }

  private async call<M extends keyof typeof fleetMethods>(
    method: M,
    params: MethodParams<typeof fleetMethods, M>,
    timeoutMs: number,
  ): Promise<Result<CallResult<typeof fleetMethods, M>, PeerError>> {
    const socket = this.currentSocket();
    const reply = await socket.call(method, params, timeoutMs);
    return socket.state === 'unsupported'
      ? this.currentHttpClient().call(method, params, { timeoutMs })
      : reply;
  }

  private currentSocket(): RpcSocket<typeof fleetMethods> {
    if (this.socket === undefined || this.socket.state === 'closed') {
      this.socket = RpcSocket.create(`ws://${this.address}${fleetSocketPath}`, fleetMethods);
    }
    return this.socket;
  }

  private currentHttpClient(): TypedJsonRpcClient<typeof fleetMethods> {
    this.httpClient ??= TypedJsonRpcClient.create({
      address: this.address,
      path: fleetHttpPath,
      methods: fleetMethods,
    });
    return this.httpClient;
  }
}

export class FleetRpcConnector implements FleetConnector {
  private constructor() {
    // Built by create.
  }

  static create(): FleetRpcConnector {
    return new FleetRpcConnector();
  }

  connect(address: string): FleetLink {
    return new FleetRpcLink(address);
  }
}
