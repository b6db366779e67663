/**
 * The interface to the other daemons of a fleet: JSON-RPC 2.0 over HTTP.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { JSONRPCServer } from 'json-rpc-2.0';
import { createProblem } from '../../errors/problem.js';
import { problemFromZod } from '../../errors/zodProblem.js';
import type { Logger } from '../../ports/logger.js';
import { maxPeerNesting } from '../../ports/peers.js';
import { fleetMethods } from '../../ports/fleetPeers.js';
import type { FleetService } from '../../ports/fleetPeers.js';
import { HttpServer } from '../http/httpServer.js';
import { readJsonBody } from '../http/readJsonBody.js';
import { sendJson, sendProblem } from '../http/sendJson.js';
import { callSchema, checkParams } from '../jsonRpc/jsonRpcCall.js';
import { fleetRpcPath } from './fleetRpcPath.js';

const maxBodyBytes = 4_194_304;
const maxConnections = 2_048;

export interface FleetRpcServerOptions {
  readonly host: string;
  readonly port: number;
  readonly service: FleetService;
  readonly logger: Logger;
}

export class FleetRpcServer {
  private server!: HttpServer;
  private readonly logger: Logger;
  private readonly rpc: JSONRPCServer;

  private constructor({ service, logger }: FleetRpcServerOptions) {
    this.logger = logger.forPart('fleet');
    this.rpc = createRpcServer(service, this.logger);
  }

  static async create(options: FleetRpcServerOptions): Promise<FleetRpcServer> {
    const fleet = new FleetRpcServer(options);
    fleet.server = await HttpServer.create({
      host: options.host,
      port: options.port,
      maxConnections,
      keepAliveTimeoutMs: 10_000,
      handle: (request, response) => fleet.answer(request, response),
    });
    return fleet;
  }

  get address(): string {
    return this.server.address;
  }

  /** Cuts every connection. */
  kill(): Promise<void> {
    return this.server.kill();
  }

  private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.method !== 'POST' || request.url !== fleetRpcPath) {
      const detail = `This daemon serves the others at ${fleetRpcPath} only.`;
      sendProblem(response, createProblem('not-found', detail));
      return;
    }
    const body = await readJsonBody(request, maxBodyBytes, maxPeerNesting);
    if (body.isErr()) {
      sendProblem(response, body.error);
      return;
    }
    const call = callSchema.safeParse(body.value);
    if (!call.success) {
      sendProblem(response, problemFromZod(call.error));
      return;
    }
    sendJson(response, 200, await this.rpc.receive(call.data));
  }
}

const createRpcServer = (service: FleetService, logger: Logger): JSONRPCServer => {
  const rpc = new JSONRPCServer({
    errorListener: (message) => logger.warn('A daemon sent a bad request.', { reason: message }),
  });
  rpc.addMethod('beat', (params) => service.beat(checkParams(fleetMethods.beat.params, params)));
  rpc.addMethod('runBatch', (params) =>
    service.runBatch(checkParams(fleetMethods.runBatch.params, params)),
  );
  rpc.addMethod('withdrawBatch', (params) => {
    service.withdrawBatch(checkParams(fleetMethods.withdrawBatch.params, params));
    return {};
  });
  rpc.addMethod('fetchRouting', () => ({ routing: service.fetchRouting() }));
  return rpc;
};
