/**
 * Server side of the peers' interface: JSON-RPC 2.0 over HTTP, authenticated by a shared token.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { JSONRPCServer } from 'json-rpc-2.0';
import { createProblem } from '../../errors/problem.js';
import type { Logger } from '../../ports/logger.js';
import { peerMethods } from '../../ports/peers.js';
import type { PeerService } from '../../ports/peers.js';
import { digestToken, isSameDigest, readTokenDigest } from '../http/bearerToken.js';
import { HttpServer } from '../http/httpServer.js';
import { sendProblem } from '../http/sendJson.js';
import { answerJsonRpc } from '../jsonRpc/answerJsonRpc.js';
import { addCheckedMethod } from '../jsonRpc/jsonRpcCall.js';
import { peerRpcPath } from './peerRpcPath.js';

const maxConnections = 4_096;

export interface PeerRpcServerOptions {
  readonly host: string;
  readonly port: number;
  /** The bearer token that all daemons share. */
  readonly token: string;
  readonly service: PeerService;
  readonly logger: Logger;
}

export class PeerRpcServer {
  private readonly logger: Logger;
  private readonly tokenDigest: string;
  private readonly rpc: JSONRPCServer;

  private constructor(options: PeerRpcServerOptions) {
    this.logger = options.logger.forPart('peers');
    this.tokenDigest = digestToken(options.token);
    this.rpc = createRpcServer(options.service, this.logger);
  }

  /** @returns the listening server; rejects if the address cannot be bound */
  static create(options: PeerRpcServerOptions): Promise<HttpServer> {
    const peerServer = new PeerRpcServer(options);
    return HttpServer.create({
      host: options.host,
      port: options.port,
      maxConnections,
      handle: (request, response) => peerServer.serve(request, response),
    });
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      await this.answer(request, response);
    } catch (error) {
      this.logger.warn('A request of a peer failed.', { reason: String(error) });
      response.destroy();
    }
  }

  private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (!isSameDigest(readTokenDigest(request), this.tokenDigest)) {
      sendProblem(response, createProblem('unauthorized', 'The token of the peers is needed.'));
      return;
    }
    await answerJsonRpc(this.rpc, peerRpcPath, request, response);
  }
}

/** Registers the methods. */
const createRpcServer = (service: PeerService, logger: Logger): JSONRPCServer => {
  const rpc = new JSONRPCServer({
    errorListener: (message) => logger.warn('A peer sent a bad request.', { reason: message }),
  });
  addCheckedMethod(rpc, 'heartbeat', peerMethods.heartbeat.params, (heartbeat) =>
    service.heartbeat(heartbeat),
  );
  addCheckedMethod(rpc, 'forward', peerMethods.forward.params, (submission) =>
    service.forward(submission),
  );
  addCheckedMethod(rpc, 'status', peerMethods.status.params, (reference) =>
    service.statusForwarded(reference),
  );
  addCheckedMethod(rpc, 'cancel', peerMethods.cancel.params, (reference) =>
    service.cancelForwarded(reference),
  );
  addCheckedMethod(rpc, 'handOver', peerMethods.handOver.params, (batch) =>
    service.handOver(batch),
  );
  addCheckedMethod(rpc, 'passTasks', peerMethods.passTasks.params, (request) =>
    service.passTasks(request),
  );
  addCheckedMethod(rpc, 'withdrawPassed', peerMethods.withdrawPassed.params, (withdrawal) => {
    service.withdrawPassed(withdrawal);
    return {};
  });
  rpc.addMethod('fetchInheritance', () => service.fetchInheritance());
  rpc.addMethod('fetchConfiguration', () => ({ checkpoint: service.fetchConfiguration() }));
  return rpc;
};
