/**
 * HTTP and JSON server of the operators' interface: health checks, status and shutdown.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createProblem } from '../../errors/problem.js';
import type { Logger } from '../../ports/logger.js';
import type { OperatorService, TracesReply } from '../../ports/operators.js';
import { digestToken, isSameDigest, readTokenDigest } from '../http/bearerToken.js';
import { HttpServer } from '../http/httpServer.js';
import { sendJson, sendProblem } from '../http/sendJson.js';

const maxConnections = 64;
const jobsPrefix = 'GET /v1/jobs/';

export interface OperatorHttpServerOptions {
  readonly host: string;
  readonly port: number;
  /** Bearer token of the operators; `/livez` and `/readyz` need none. */
  readonly token: string;
  readonly service: OperatorService;
  readonly logger: Logger;
}

export class OperatorHttpServer {
  private readonly logger: Logger;
  private readonly tokenDigest: string;

  private constructor(private readonly options: OperatorHttpServerOptions) {
    this.logger = options.logger.forPart('operators');
    this.tokenDigest = digestToken(options.token);
  }

  /** @returns the listening server; rejects if the address cannot be bound */
  static create(options: OperatorHttpServerOptions): Promise<HttpServer> {
    const operatorServer = new OperatorHttpServer(options);
    return HttpServer.create({
      host: options.host,
      port: options.port,
      maxConnections,
      handle: (request, response) => operatorServer.serve(request, response),
    });
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { service } = this.options;
    const path = (request.url ?? '').split('?', 1)[0];
    if (request.method === 'GET' && path === '/livez') {
      sendJson(response, 200, { live: true });
      return;
    }
    if (request.method === 'GET' && path === '/readyz') {
      const isReady = service.isReady();
      sendJson(response, isReady ? 200 : 503, { ready: isReady });
      return;
    }
    if (!isSameDigest(readTokenDigest(request), this.tokenDigest)) {
      sendProblem(response, createProblem('unauthorized', "The operators' token is needed."));
      return;
    }
    await this.serveOperator(`${request.method ?? ''} ${path ?? ''}`, response);
  }

  private async serveOperator(resource: string, response: ServerResponse): Promise<void> {
    const { service } = this.options;
    switch (resource) {
      case 'GET /v1/status':
        await service.refreshPeers();
        sendJson(response, 200, service.daemonStatus());
        return;
      case 'GET /v1/service-levels':
        sendJson(response, 200, service.serviceLevels());
        return;
      case 'POST /v1/drain':
        this.logger.info('An operator asked for a planned stop.');
        service.drain();
        sendJson(response, 202, { state: 'leaving' });
        return;
      default: {
        if (resource.startsWith(jobsPrefix)) {
          this.serveTraces(resource.slice(jobsPrefix.length), response);
          return;
        }
        sendProblem(response, createProblem('not-found', 'There is no such resource.'));
        return;
      }
    }
  }

  /** Sends the traces of a job; an unknown name has none, since another daemon may know the job. */
  private serveTraces(name: string, response: ServerResponse): void {
    const { service } = this.options;
    const { vmId } = service.daemonStatus().own;
    sendJson(response, 200, { vmId, traces: service.jobTraces(name) } satisfies TracesReply);
  }
}
