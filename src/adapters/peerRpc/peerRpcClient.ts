/**
 * Links to peers: JSON-RPC 2.0 over kept-alive HTTP connections.
 */
import { JSONRPCClient, JSONRPCErrorException } from 'json-rpc-2.0';
import type { JSONRPCResponse } from 'json-rpc-2.0';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { Pool } from 'undici';
import type { z } from 'zod';
import type { ConfigurationCheckpoint } from '../../configuration/types.js';
import type { Heartbeat } from '../../membership/types.js';
import { peerMethods } from '../../ports/peers.js';
import type {
  ForwardedStatus,
  ForwardedSubmission,
  HandOverBatch,
  HandOverReply,
  Inheritance,
  PeerConnector,
  PeerError,
  PeerLink,
  PassTasksReply,
  PassTasksRequest,
  WithdrawPassed,
  StatusReply,
  SubmissionRef,
  SubmitOutcome,
} from '../../ports/peers.js';
import { requestJson } from '../http/requestJson.js';
import { peerRpcPath } from './peerRpcMessages.js';

const maxReplyBytes = 33_554_432;
const connectTimeoutMs = 1_000;
const maxConnectionsPerPeer = 256;

/** Thrown inside the JSON-RPC client where the transport failed. */
class TransportError extends Error {
  constructor(readonly peerError: PeerError) {
    super(peerError.detail);
  }
}

type MethodName = keyof typeof peerMethods;

/**
 * Sees every message to a peer before it is sent.
 *
 * @returns whether the message may be sent; one that may not ends as `broken`
 */
export type PeerMessageFilter = (address: string, method: string) => boolean;

const passAll: PeerMessageFilter = () => true;

class PeerRpcLink implements PeerLink {
  private readonly pool: Pool;
  private readonly client: JSONRPCClient<AbortSignal>;

  constructor(
    private readonly address: string,
    private readonly token: string,
    private readonly filter: PeerMessageFilter,
  ) {
    this.pool = new Pool(`http://${address}`, {
      connections: maxConnectionsPerPeer,
      connect: { timeout: connectTimeoutMs },
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.client = new JSONRPCClient<AbortSignal>((payload, signal) => this.send(payload, signal));
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

  fetchInheritance(signal: AbortSignal): Promise<Result<Inheritance, PeerError>> {
    return this.call('fetchInheritance', {}, signal);
  }

  passTasks(
    request: PassTasksRequest,
    signal: AbortSignal,
  ): Promise<Result<PassTasksReply, PeerError>> {
    return this.call('passTasks', request, signal);
  }

  async withdrawPassed(request: WithdrawPassed, signal: AbortSignal): Promise<void> {
    await this.call('withdrawPassed', request, signal);
  }

  async fetchConfiguration(
    signal: AbortSignal,
  ): Promise<Result<ConfigurationCheckpoint | null, PeerError>> {
    const reply = await this.call('fetchConfiguration', {}, signal);
    return reply.map(({ checkpoint }) => checkpoint);
  }

  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async call<M extends MethodName>(
    method: M,
    params: z.infer<(typeof peerMethods)[M]['params']>,
    signal: AbortSignal,
  ): Promise<Result<z.infer<(typeof peerMethods)[M]['result']>, PeerError>> {
    if (!this.filter(this.address, method)) {
      return Err({ kind: 'broken', detail: 'The link to the peer is cut.' });
    }
    try {
      const reply: unknown = await this.client.request(method, params, signal);
      const parsed = peerMethods[method].result.safeParse(reply);
      return parsed.success
        ? Ok(parsed.data as z.infer<(typeof peerMethods)[M]['result']>)
        : Err({ kind: 'broken', detail: `The peer's answer to ${method} is not valid.` });
    } catch (error) {
      return Err(toPeerError(error));
    }
  }

  private async send(payload: unknown, signal: AbortSignal): Promise<void> {
    const exchange = await requestJson(this.pool, {
      method: 'POST',
      path: peerRpcPath,
      body: payload,
      token: this.token,
      maxBytes: maxReplyBytes,
      signal,
    });
    if (exchange.kind !== 'answered') {
      throw new TransportError(exchange);
    }
    if (exchange.status !== 200) {
      const detail = `The peer answered ${exchange.status}.`;
      throw new TransportError({ kind: 'refused', detail });
    }
    this.client.receive(exchange.body as JSONRPCResponse);
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
   * @param filter - sees every message before it is sent
   */
  static create(token: string, filter: PeerMessageFilter = passAll): PeerRpcConnector {
    return new PeerRpcConnector(token, filter);
  }

  connect(address: string): PeerLink {
    return new PeerRpcLink(address, this.token, this.filter);
  }
}

const toPeerError = (error: unknown): PeerError => {
  if (error instanceof TransportError) {
    return error.peerError;
  }
  const kind = error instanceof JSONRPCErrorException ? 'refused' : 'broken';
  return { kind, detail: String(error) };
};
