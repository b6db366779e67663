/**
 * Open-loop load generator: sends each planned request at its time, whether or not earlier ones have
 * been answered.
 */
import { CallerHttpClient } from '../../src/adapters/callerHttp/callerHttpClient.js';
import type { CallerOutcome } from '../../src/adapters/callerHttp/callerHttpClient.js';
import { CallerSession } from '../../src/adapters/callerHttp/callerSession.js';
import { unreachable } from '../../src/errors/unreachable.js';
import type { Caller, Operation } from '../../src/types/inventory.js';
import type { Clock } from '../../src/ports/clock.js';
import type { Random } from '../../src/ports/random.js';
import type { LoadTally } from './loadTally.js';
import type { PlannedRequest } from './requestPlan.js';
import { computeIdealMs, matchesSubmission } from './submissions.js';

/** Time after its deadline at which a caller gives up a request. */
const answerGraceMs = 15_000;

/** One request with its outcome for the caller. */
export interface AnsweredRequest {
  readonly request: PlannedRequest;
  readonly outcome: CallerOutcome;
}

export interface OpenLoopLoadOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Declared operations, from whose run times the ideal response time follows. */
  readonly operations: readonly Operation[];
  /** Speed of the fastest endpoint. */
  readonly topSpeed: number;
  /** Counts the outcomes. */
  readonly tally: LoadTally;
  /** The load balancer: chooses the daemon of a new connection, by its address. */
  readonly balance: () => string;
  /** Returns the bearer token of a caller. */
  readonly tokenOf: (caller: Caller) => string;
}

export class OpenLoopLoad {
  /** Open sessions without a request, by caller id. */
  private readonly idleSessions = new Map<string, CallerSession[]>();

  private constructor(private readonly options: OpenLoopLoadOptions) {}

  static create(options: OpenLoopLoadOptions): OpenLoopLoad {
    return new OpenLoopLoad(options);
  }

  /**
   * Sends all requests and waits for their outcomes.
   *
   * @param plan - the requests in order of arrival
   * @returns each request with its outcome, in the same order
   */
  async run(plan: readonly PlannedRequest[]): Promise<AnsweredRequest[]> {
    const { clock } = this.options;
    const startedAtMs = clock.nowMs();
    const answers: Promise<AnsweredRequest>[] = [];
    for (const request of plan) {
      const waitMs = startedAtMs + request.atMs - clock.nowMs();
      if (waitMs > 0) {
        await clock.sleep(waitMs);
      }
      answers.push(this.runRequest(request));
    }
    return Promise.all(answers);
  }

  async close(): Promise<void> {
    const sessions = [...this.idleSessions.values()].flat();
    await Promise.all(sessions.map((session) => session.close()));
  }

  private async runRequest(request: PlannedRequest): Promise<AnsweredRequest> {
    const { clock, tally, operations, topSpeed } = this.options;
    const { caller, submission } = request;
    const startedAtMs = clock.nowMs();
    const outcome = await this.send(request);
    tally.record({
      callerClass: caller.class,
      taskCount: submission.tasks.length,
      outcome,
      responseMs: clock.nowMs() - startedAtMs,
      idealMs: computeIdealMs(submission, operations, topSpeed),
    });
    tally.wrongAnswers += matchesSubmission(outcome, submission) ? 0 : 1;
    return { request, outcome };
  }

  private async send(request: PlannedRequest): Promise<CallerOutcome> {
    const { caller, mode, submission } = request;
    const signal = AbortSignal.timeout(submission.deadlineMs + answerGraceMs);
    switch (mode.kind) {
      case 'job':
        return this.withIdleSession(caller, (session) => session.submit(submission, signal));
      case 'lookup':
        return this.withIdleSession(caller, (session) => session.lookup(submission, signal));
      case 'resubmitted-job':
        return this.resubmit(request, mode.afterMs, mode.copies);
      default:
        return unreachable(mode);
    }
  }

  /**
   * Sends a request through an idle session of the caller, or a new one. A session serves one request at
   * a time, since it may reconnect, which would break the others.
   */
  private async withIdleSession(
    caller: Caller,
    send: (session: CallerSession) => Promise<{ readonly outcome: CallerOutcome }>,
  ): Promise<CallerOutcome> {
    const idle = this.idleSessions.get(caller.callerId) ?? [];
    this.idleSessions.set(caller.callerId, idle);
    const session = idle.pop() ?? this.createSession(caller);
    const { outcome } = await send(session);
    idle.push(session);
    return outcome;
  }

  private createSession(caller: Caller): CallerSession {
    const { balance, random, tokenOf } = this.options;
    const createSuffix = (): string => random.id();
    return CallerSession.create({
      token: tokenOf(caller),
      chooseAddress: balance,
      createKeySuffix: createSuffix,
    });
  }

  /**
   * Submits a job, gives up the wait for its answer, and resubmits it under the same key several times at
   * once, each through a new connection to the daemon that the load balancer chooses.
   */
  private async resubmit(
    { caller, submission }: PlannedRequest,
    afterMs: number,
    copies: number,
  ): Promise<CallerOutcome> {
    const { balance, random, tokenOf } = this.options;
    const connect = (): CallerHttpClient => CallerHttpClient.create(balance(), tokenOf(caller));
    const first = connect();
    const signal = AbortSignal.timeout(submission.deadlineMs + answerGraceMs);
    const owner = await first.owner(signal);
    const key = `${owner ?? 'unknown'}~${random.id()}`;
    const firstOutcome = await first.submit(
      key,
      submission,
      AbortSignal.timeout(Math.ceil(afterMs)),
    );
    const others = Array.from({ length: copies }, connect);
    const outcomes = await Promise.all(
      others.map((client) => client.submit(key, submission, signal)),
    );
    await Promise.all([first, ...others].map((client) => client.close()));
    return chooseOutcome([firstOutcome, ...outcomes]);
  }
}

/**
 * Chooses the outcome of a submission that was sent several times: a complete answer, else a failure. All
 * answers to one key agree, so copies differ only in whether an answer arrived.
 */
const chooseOutcome = (outcomes: readonly CallerOutcome[]): CallerOutcome =>
  outcomes.find(({ kind }) => kind === 'complete') ??
  outcomes.find(({ kind }) => kind === 'failed') ?? { kind: 'broken' };
