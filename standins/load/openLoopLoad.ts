/**
 * Sends a planned load: each request leaves at its time, whatever became of the others.
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
import { computeIdealMs, isOwnAnswer } from './submissions.js';

/** Time beyond its deadline after which a caller gives up a request. */
const patienceMs = 15_000;

/** One request with what its caller got. */
export interface AnsweredRequest {
  readonly request: PlannedRequest;
  readonly outcome: CallerOutcome;
}

export interface OpenLoopLoadOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly operations: readonly Operation[];
  readonly topSpeed: number;
  readonly tally: LoadTally;
  /** The balancer: chooses the address of a daemon for a new connection. */
  readonly balance: () => string;
  readonly tokenOf: (caller: Caller) => string;
}

export class OpenLoopLoad {
  private readonly idleSessions = new Map<string, CallerSession[]>();

  private constructor(private readonly options: OpenLoopLoadOptions) {}

  static create(options: OpenLoopLoadOptions): OpenLoopLoad {
    return new OpenLoopLoad(options);
  }

  /**
   * Sends all requests and waits for the last answer.
   *
   * @param plan - the requests in order of arrival
   * @returns what became of each
   */
  async run(plan: readonly PlannedRequest[]): Promise<AnsweredRequest[]> {
    const { clock } = this.options;
    const startedAtMs = clock.nowMs();
    const answers: Promise<AnsweredRequest>[] = [];
    for (const request of plan) {
      const pauseMs = startedAtMs + request.atMs - clock.nowMs();
      if (pauseMs > 0) {
        await clock.sleep(pauseMs);
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
    tally.wrongAnswers += isOwnAnswer(outcome, submission) ? 0 : 1;
    return { request, outcome };
  }

  private async send(request: PlannedRequest): Promise<CallerOutcome> {
    const { caller, manner, submission } = request;
    const signal = AbortSignal.timeout(submission.deadlineMs + patienceMs);
    switch (manner.kind) {
      case 'job':
        return this.useSession(caller, (session) => session.submit(submission, signal));
      case 'lookup':
        return this.useSession(caller, (session) => session.lookup(submission, signal));
      case 'resubmitted-job':
        return this.resubmit(request, manner.afterMs, manner.copies);
      default:
        return unreachable(manner);
    }
  }

  /** A session serves one request at a time, so that its reconnecting disturbs no other. */
  private async useSession(
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
    return CallerSession.create({ token: tokenOf(caller), balance, createSuffix });
  }

  /** Gives up the first copy, then sends further copies of the same key through other daemons. */
  private async resubmit(
    { caller, submission }: PlannedRequest,
    afterMs: number,
    copies: number,
  ): Promise<CallerOutcome> {
    const { balance, random, tokenOf } = this.options;
    const connect = (): CallerHttpClient => CallerHttpClient.create(balance(), tokenOf(caller));
    const first = connect();
    const signal = AbortSignal.timeout(submission.deadlineMs + patienceMs);
    const owner = await first.owner(signal);
    const key = `${owner ?? 'unknown'}~${random.id()}`;
    const firstOutcome = await first.submit(
      key,
      submission,
      AbortSignal.timeout(Math.ceil(afterMs)),
    );
    const others = Array.from({ length: copies }, connect);
    const outcomes = await Promise.all(others.map((one) => one.submit(key, submission, signal)));
    await Promise.all([first, ...others].map((client) => client.close()));
    return chooseOutcome([firstOutcome, ...outcomes]);
  }
}

/** The copies of one submission may differ only in whether an answer arrived. */
const chooseOutcome = (outcomes: readonly CallerOutcome[]): CallerOutcome =>
  outcomes.find(({ kind }) => kind === 'complete') ??
  outcomes.find(({ kind }) => kind === 'failed') ?? { kind: 'broken' };
