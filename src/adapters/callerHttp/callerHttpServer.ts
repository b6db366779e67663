/**
 * HTTP and JSON server of the interface for callers.
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
/** Upper bound for the wait that a status request may ask for. */
const maxStatusWaitMs = 30_000;

export interface CallerHttpServerOptions {
  readonly host: string;
  readonly port: number;
  readonly service: CallerService;
  readonly logger: Logger;
}

export class CallerHttpServer {
  private readonly logger: Logger;

  private constructor(private readonly options: CallerHttpServerOptions) {
    this.logger = options.logger.forPart('callers');
  }

  /** @returns the listening server; rejects if the address cannot be bound */
  static create(options: CallerHttpServerOptions): Promise<HttpServer> {
    const callerServer = new CallerHttpServer(options);
    return HttpServer.create({
      host: options.host,
      port: options.port,
      maxConnections,
      handle: (request, response) => callerServer.serve(request, response),
    });
  }

  /** Handles one request; an unexpected error is answered with a problem of kind `internal`. */
  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      await this.route(request, response);
    } catch (error) {
      this.logger.error('A request failed inside the daemon.', { reason: String(error) });
      this.sendRefusal(
        response,
        createProblem('internal', 'The request failed inside the daemon.'),
      );
    }
  }

  private async route(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const digest = readTokenDigest(request);
    const caller = digest === undefined ? undefined : this.options.service.authenticate(digest);
    if (caller === undefined) {
      this.sendRefusal(response, createProblem('unauthorized', 'A valid bearer token is needed.'));
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
        sendJson(response, 200, { owner: this.options.service.owner() }, this.ownerHeader());
        return;
      }
      case 'none': {
        this.sendRefusal(response, createProblem('not-found', 'There is no such resource.'));
        return;
      }
      default:
        return unreachable(route);
    }
  }

  /**
   * Submits a job and responds with its answer. With `Prefer: respond-async`, responds with 202 while
   * the job runs, unless it has been refused or answered at once.
   */
  private async submit(
    caller: Caller,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const key = request.headers['idempotency-key'];
    if (typeof key !== 'string') {
      const where = 'Idempotency-Key';
      this.sendRefusal(response, createProblem('invalid-request', 'A key is needed.', { where }));
      return;
    }
    const body = await readSubmission(request);
    const outcome = this.options.service.submit(caller, key, body);
    const isAsync = request.headers.prefer === 'respond-async';
    const earlyOutcome = isAsync
      ? await Promise.race([outcome, waitForImmediateRefusal()])
      : await outcome;
    if (earlyOutcome !== undefined) {
      this.sendOutcome(response, earlyOutcome);
      return;
    }
    outcome.catch((error: unknown) =>
      this.logger.error('A job failed inside the daemon.', { reason: String(error) }),
    );
    const location = `/v1/jobs/${encodeURIComponent(key)}`;
    sendJson(response, 202, { state: 'running' }, { ...this.ownerHeader(), location });
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
      this.sendRefusal(response, status.error);
      return;
    }
    switch (status.value.state) {
      case 'running':
        return sendJson(response, 200, { state: 'running' }, this.ownerHeader());
      case 'answered':
        return this.sendAnswer(response, status.value.answer);
      case 'refused':
        return this.sendRefusal(response, status.value.problem);
      default:
        return unreachable(status.value);
    }
  }

  private sendOutcome(response: ServerResponse, outcome: SubmitOutcome): void {
    switch (outcome.kind) {
      case 'answered':
        return this.sendAnswer(response, outcome.answer);
      case 'refused':
        return this.sendRefusal(response, outcome.problem);
      default:
        return unreachable(outcome);
    }
  }

  private sendAnswer(response: ServerResponse, answer: JobAnswer): void {
    switch (answer.status) {
      case 'complete':
        return sendJson(response, 200, answer, this.ownerHeader());
      case 'failed':
        return sendProblem(response, answer.problem, this.ownerHeader(), answer.taskStates);
      default:
        return unreachable(answer);
    }
  }

  /** Sends a problem; where a response has begun already, drops the connection. */
  private sendRefusal(response: ServerResponse, problem: Problem): void {
    if (response.headersSent) {
      response.destroy();
      return;
    }
    sendProblem(response, problem, this.ownerHeader());
  }

  private ownerHeader() {
    return { owner: this.options.service.owner() };
  }
}

/** Reads and validates the submission in the body of a request. */
const readSubmission = async (request: IncomingMessage): Promise<Result<Submission, Problem>> => {
  const body = await readJsonBody(request, maxBodyBytes);
  if (body.isErr()) {
    return body;
  }
  const parsed = submissionSchema.safeParse(body.value);
  return parsed.success ? Ok(parsed.data) : Err(problemFromZod(parsed.error));
};

/** Resolves to undefined after one turn of the event loop, when immediate refusals have settled. */
const waitForImmediateRefusal = async (): Promise<undefined> => {
  await setImmediatePromise();
  return undefined;
};
