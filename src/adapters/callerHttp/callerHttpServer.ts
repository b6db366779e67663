/**
 * The callers' interface over HTTP and JSON.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { setImmediate as setImmediatePromise } from 'node:timers/promises';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { createProblem } from '../../errors/problem.js';
import type { Problem } from '../../errors/problem.js';
import { unreachable } from '../../errors/unreachable.js';
import { problemFromZod } from '../../errors/zodProblem.js';
import type { Caller } from '../../types/inventory.js';
import { submissionSchema } from '../../types/jobs.js';
import type { JobAnswer, Submission } from '../../types/jobs.js';
import type { CallerService, JobStatus } from '../../ports/callers.js';
import type { Logger } from '../../ports/logger.js';
import type { SubmitOutcome } from '../../ports/peers.js';
import { readTokenDigest } from '../http/bearerToken.js';
import { HttpServer } from '../http/httpServer.js';
import { readJsonBody } from '../http/readJsonBody.js';
import { sendJson, sendProblem } from '../http/sendJson.js';
import { matchRoute } from './routes.js';

const maxBodyBytes = 1_048_576;
const maxConnections = 4_096;
const maxStatusWaitMs = 30_000;

export interface CallerHttpServerOptions {
  readonly host: string;
  readonly port: number;
  readonly service: CallerService;
  readonly logger: Logger;
}

export class CallerHttpServer {
  private server!: HttpServer;
  private readonly logger: Logger;

  private constructor(private readonly options: CallerHttpServerOptions) {
    this.logger = options.logger.forPart('callers');
  }

  static async create(options: CallerHttpServerOptions): Promise<CallerHttpServer> {
    const front = new CallerHttpServer(options);
    front.server = await HttpServer.create({
      host: options.host,
      port: options.port,
      maxConnections,
      handle: (request, response) => front.serve(request, response),
    });
    return front;
  }

  get address(): string {
    return this.server.address;
  }

  /** Closes each connection with its next answer from now on. */
  drain(): void {
    this.server.drain();
  }

  close(): Promise<void> {
    return this.server.close();
  }

  kill(): Promise<void> {
    return this.server.kill();
  }

  /** Serves one request from its first byte to its whole answer. */
  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      await this.route(request, response);
    } catch (error) {
      this.logger.error('A request failed inside the daemon.', { reason: String(error) });
      this.refuse(response, createProblem('internal', 'The request failed inside the daemon.'));
    }
  }

  private async route(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const digest = readTokenDigest(request);
    const caller = digest === undefined ? undefined : this.options.service.authenticate(digest);
    if (caller === undefined) {
      this.refuse(response, createProblem('unauthorized', 'A valid bearer token is needed.'));
      return;
    }
    const route = matchRoute(request.method ?? '', request.url ?? '');
    switch (route.kind) {
      case 'submit':
        return this.submit(caller, request, response);
      case 'status':
        return this.status(caller, route.key, Math.min(route.waitMs, maxStatusWaitMs), response);
      case 'cancel':
        return this.cancel(caller, route.key, response);
      case 'lookup':
        return this.lookup(caller, request, response);
      case 'owner': {
        sendJson(response, 200, { owner: this.options.service.owner() }, this.headers());
        return;
      }
      case 'none': {
        this.refuse(response, createProblem('not-found', 'There is no such resource.'));
        return;
      }
      default:
        return unreachable(route);
    }
  }

  private async submit(
    caller: Caller,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const key = request.headers['idempotency-key'];
    if (typeof key !== 'string') {
      const where = 'Idempotency-Key';
      this.refuse(response, createProblem('invalid-request', 'A key is needed.', { where }));
      return;
    }
    const body = await readSubmission(request);
    const outcome = this.options.service.submit(caller, key, body);
    const isAsync = request.headers.prefer === 'respond-async';
    const first = isAsync ? await Promise.race([outcome, afterRefusals()]) : await outcome;
    if (first !== undefined) {
      this.sendOutcome(response, first);
      return;
    }
    outcome.catch((error: unknown) =>
      this.logger.error('A job failed inside the daemon.', { reason: String(error) }),
    );
    const location = `/v1/jobs/${encodeURIComponent(key)}`;
    sendJson(response, 202, { state: 'running' }, { ...this.headers(), location });
  }

  private async status(
    caller: Caller,
    key: string,
    waitMs: number,
    response: ServerResponse,
  ): Promise<void> {
    this.sendStatus(response, await this.options.service.status(caller, key, waitMs));
  }

  private async cancel(caller: Caller, key: string, response: ServerResponse): Promise<void> {
    this.sendStatus(response, await this.options.service.cancel(caller, key));
  }

  private async lookup(
    caller: Caller,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readSubmission(request);
    this.sendOutcome(response, await this.options.service.lookup(caller, body));
  }

  private sendStatus(response: ServerResponse, status: Result<JobStatus, Problem>): void {
    if (status.isErr()) {
      this.refuse(response, status.error);
      return;
    }
    switch (status.value.state) {
      case 'running':
        return sendJson(response, 200, { state: 'running' }, this.headers());
      case 'answered':
        return this.sendAnswer(response, status.value.answer);
      case 'refused':
        return this.refuse(response, status.value.problem);
      default:
        return unreachable(status.value);
    }
  }

  private sendOutcome(response: ServerResponse, outcome: SubmitOutcome): void {
    switch (outcome.kind) {
      case 'answered':
        return this.sendAnswer(response, outcome.answer);
      case 'refused':
        return this.refuse(response, outcome.problem);
      default:
        return unreachable(outcome);
    }
  }

  private sendAnswer(response: ServerResponse, answer: JobAnswer): void {
    switch (answer.status) {
      case 'complete':
        return sendJson(response, 200, answer, this.headers());
      case 'failed':
        return sendProblem(response, answer.problem, this.headers(), answer.taskStates);
      default:
        return unreachable(answer);
    }
  }

  private refuse(response: ServerResponse, problem: Problem): void {
    if (response.headersSent) {
      response.destroy();
      return;
    }
    sendProblem(response, problem, this.headers());
  }

  private headers() {
    return { owner: this.options.service.owner() };
  }
}

const readSubmission = async (request: IncomingMessage): Promise<Result<Submission, Problem>> => {
  const body = await readJsonBody(request, maxBodyBytes);
  if (body.isErr()) {
    return body;
  }
  const parsed = submissionSchema.safeParse(body.value);
  return parsed.success ? Ok(parsed.data) : Err(problemFromZod(parsed.error));
};

/** Resolves after a submission that is refused without waiting has been refused. */
const afterRefusals = async (): Promise<undefined> => {
  await setImmediatePromise();
  return undefined;
};
