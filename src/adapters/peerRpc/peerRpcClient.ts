/**
 * Client side of the peers' interface: JSON-RPC 2.0 over persistent HTTP connections.
 */
import { Err } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { z } from 'zod';
import type { ConfigurationCheckpoint } from '../../types/configuration.js';
import type { Heartbeat } from '../../types/membership.js';
import { peerMethods } from '../../ports/peers.js';
import type {
  ForwardedStatus,
  ForwardedSubmission,
  HandOverBatch,
  HandOverReply,
  AdoptedIncarnations,
  PeerConnector,
  PeerError,
  PeerLink,
  OffloadReply,
  OffloadRequest,
  OffloadWithdrawal,
  StatusReply,
  SubmissionRef,
  SubmitOutcome,
} from '../../ports/peers.js';
import { TypedJsonRpcClient } from '../jsonRpc/typedJsonRpcClient.js';
import { peerRpcPath } from './peerRpcPath.js';

type MethodName = keyof typeof peerMethods;

/**
 * Decides whether a message to a peer is sent, so that network partitions can be simulated.
 *
 * @param address - address of the peer, as `IP:port`
 * @param method - the JSON-RPC method
 * @returns false to block the message; its call then fails as `broken`
 */
export type PeerMessageFilter = (address: string, method: string) => boolean;

const allowAll: PeerMessageFilter = () => true;

class PeerRpcLink implements PeerLink {
  private readonly client: TypedJsonRpcClient<typeof peerMethods>;

  constructor(
    private readonly address: string,
    token: string,
    private readonly filter: PeerMessageFilter,
  ) {
    this.client = TypedJsonRpcClient.create({
      address,
      path: peerRpcPath,
      methods: peerMethods,
      token,
    });
  }

  heartbeat(own: Heartbeat, signal: AbortSignal): Promise<Result<Heartbeat, PeerError>> {
    return this.call('heartbeat', own, signal);
  }

  forward(
    request: ForwardedSubmission,
    signal: AbortSignal,
  ): Promise<Result<SubmitOutcome, PeerError>> {
    return this.call('forward', request, signal);
  }

  status(request: ForwardedStatus, signal: AbortSignal): Promise<Result<StatusReply, PeerError>> {
    return this.call('status', request, signal);
  }

  cancel(request: SubmissionRef, signal: AbortSignal): Promise<Result<StatusReply, PeerError>> {
    return this.call('cancel', request, signal);
  }

  handOver(batch: HandOverBatch, signal: AbortSignal): Promise<Result<HandOverReply, PeerError>> {
    return this.call('handOver', batch, signal);
  }

  fetchInheritance(signal: AbortSignal): Promise<Result<AdoptedIncarnations, PeerError>> {
    return this.call('fetchInheritance', {}, signal);
  }

  passTasks(
    request: OffloadRequest,
    signal: AbortSignal,
  ): Promise<Result<OffloadReply, PeerError>> {
    return this.call('passTasks', request, signal);
  }

  async withdrawPassed(request: OffloadWithdrawal, signal: AbortSignal): Promise<void> {
    await this.call('withdrawPassed', request, signal);
  }

  async fetchConfiguration(
    signal: AbortSignal,
  ): Promise<Result<ConfigurationCheckpoint | null, PeerError>> {
    const reply = await this.call('fetchConfiguration', {}, signal);
    return reply.map(({ checkpoint }) => checkpoint);
  }

  close(): Promise<void> {
    return this.client.close();
  }

  private async call<M extends MethodName>(
    method: M,
    params: z.input<(typeof peerMethods)[M]['params']>,
    signal: AbortSignal,
  ): Promise<Result<z.infer<(typeof peerMethods)[M]['result']>, PeerError>> {
    if (!this.filter(this.address, method)) {
      return Err({ kind: 'broken', detail: 'The message filter blocked the call.' });
    }
    return this.client.call(method, params, { signal });
  }
}

export class PeerRpcConnector implements PeerConnector {
  private constructor(
    private readonly token: string,
    private readonly filter: PeerMessageFilter,
  ) {}

  /**
   * Creates a connector.
   *
   * @param token - the bearer token that all daemons share
   * @param filter - decides for each message whether it is sent; allows all by default
   */
  static create(token: string, filter: PeerMessageFilter = allowAll): PeerRpcConnector {
    return new PeerRpcConnector(token, filter);
  }

  connect(address: string): PeerLink {
    return new PeerRpcLink(address, this.token, this.filter);
  }
}
