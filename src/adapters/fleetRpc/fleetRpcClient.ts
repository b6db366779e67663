/**
 * Client side of the interface between the daemons of a fleet: JSON-RPC 2.0 over HTTP.
 */
import type { Result } from 'ts-results-es';
import type { BatchReply } from '../../types/dispatch.js';
import type { FleetHeartbeat } from '../../types/fleet.js';
import { fleetMethods } from '../../ports/fleetPeers.js';
import type {
  BatchRequest,
  FleetConnector,
  FleetLink,
  BatchWithdrawal,
} from '../../ports/fleetPeers.js';
import type { PeerError } from '../../ports/peers.js';
import type { Routing } from '../../types/routing.js';
import { TypedJsonRpcClient } from '../jsonRpc/typedJsonRpcClient.js';
import { fleetRpcPath } from './fleetRpcPath.js';

class FleetRpcLink implements FleetLink {
  private readonly client: TypedJsonRpcClient<typeof fleetMethods>;

  constructor(address: string) {
    this.client = TypedJsonRpcClient.create({ address, path: fleetRpcPath, methods: fleetMethods });
  }

  beat(own: FleetHeartbeat, timeoutMs: number): Promise<Result<FleetHeartbeat, PeerError>> {
    return this.client.call('beat', own, { timeoutMs });
  }

  runBatch(request: BatchRequest, timeoutMs: number): Promise<Result<BatchReply, PeerError>> {
    return this.client.call('runBatch', request, { timeoutMs });
  }

  withdrawBatch(
    withdrawal: BatchWithdrawal,
    timeoutMs: number,
  ): Promise<Result<unknown, PeerError>> {
    return this.client.call('withdrawBatch', withdrawal, { timeoutMs });
  }

  async fetchRouting(timeoutMs: number): Promise<Result<Routing | null, PeerError>> {
    const reply = await this.client.call('fetchRouting', {}, { timeoutMs });
    return reply.map(({ routing }) => routing);
  }

  close(): Promise<void> {
    return this.client.close();
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
