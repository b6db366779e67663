/**
 * Server side of the interface between the daemons of a fleet: JSON-RPC 2.0 over WebSocket
 * connections, and over HTTP for daemons that do not support them yet.
 */
import { JSONRPCErrorException, JSONRPCServer } from 'json-rpc-2.0';
import type { Logger } from '../../ports/logger.js';
import { fleetMethods } from '../../ports/fleetPeers.js';
import type { FleetService } from '../../ports/fleetPeers.js';
import { HttpServer } from '../http/httpServer.js';
import { answerJsonRpc } from '../jsonRpc/answerJsonRpc.js';
import { addCheckedMethod } from '../jsonRpc/jsonRpcCall.js';
import { RpcSocketServer } from '../jsonRpc/rpcSocketServer.js';
import { fleetHttpPath, fleetSocketPath } from './fleetRpcPath.js';

const maxConnections = 2_048;
const keepAliveTimeoutMs = 10_000;

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
  private readonly sockets: RpcSocketServer;

  private constructor({ service, logger }: FleetRpcServerOptions) {
    this.logger = logger.forPart('fleet');
    this.rpc = createRpcServer(service, this.logger);
    this.sockets = RpcSocketServer.create({
      rpc: this.rpc,
      path: fleetSocketPath,
      onError: (reason) => this.logger.warn('A connection of a daemon failed.', { reason }),
    });
  }

  static async create(options: FleetRpcServerOptions): Promise<FleetRpcServer> {
    const fleetServer = new FleetRpcServer(options);
    fleetServer.server = await HttpServer.create({
      host: options.host,
      port: options.port,
      maxConnections,
      keepAliveTimeoutMs,
      handle: (request, response) =>
        answerJsonRpc(fleetServer.rpc, fleetHttpPath, request, response),
      onUpgrade: (request, socket, head) => fleetServer.sockets.accept(request, socket, head),
      onError: (reason) => fleetServer.logger.warn('A request of a daemon failed.', { reason }),
    });
    return fleetServer;
  }

  /** @returns listening address, as `IP:port` */
  get address(): string {
    return this.server.address;
  }

  /** Drops all connections at once. */
  async kill(): Promise<void> {
    this.sockets.close();
    await this.server.kill();
  }
}

/** Registers the methods. */
const createRpcServer = (service: FleetService, logger: Logger): JSONRPCServer => {
  const rpc = new JSONRPCServer({
    errorListener: (message, error) => logCallError(logger, message, error),
  });
  addCheckedMethod(rpc, 'beat', fleetMethods.beat.params, (heartbeat) => service.beat(heartbeat));
  addCheckedMethod(rpc, 'runBatch', fleetMethods.runBatch.params, (batch) =>
    service.runBatch(batch),
  );
  addCheckedMethod(rpc, 'withdrawBatch', fleetMethods.withdrawBatch.params, (withdrawal) => {
    service.withdrawBatch(withdrawal);
    return {};
  });
  addCheckedMethod(rpc, 'cancelJob', fleetMethods.cancelJob.params, (cancellation) =>
    service.cancelJob(cancellation),
  );
  addCheckedMethod(rpc, 'awaitJob', fleetMethods.awaitJob.params, (question) =>
    service.awaitJob(question),
  );
  rpc.addMethod('fetchRouting', () => ({ routing: service.fetchRouting() }));
  return rpc;
};

/** Logs why a call was answered with an error: its parameters, or an error of this daemon. */
const logCallError = (logger: Logger, message: string, error: unknown): void => {
  if (error instanceof JSONRPCErrorException) {
    logger.warn('A daemon sent a bad request.', { reason: `${message} ${error.message}` });
    return;
  }
  const detail = error instanceof Error ? (error.stack ?? error.message) : String(error);
  logger.error('A call of a daemon failed here.', { reason: `${message} ${detail}` });
};
