/**
 * The attempts of callers whose job another daemon holds for an earlier attempt. Each waits for the job's end there, and
 * starts the job here only once no run of it goes on elsewhere. Nothing of it runs meanwhile.
 */
import { criticalPathMs } from '../bestEffort/objective.js';
import type { RunTimePredictor } from '../bestEffort/runTimePredictor.js';
import type { RunningJobs } from '../bestEffort/runningJobs.js';
import type { Dispatcher } from '../dispatch/dispatcher.js';
import { unreachable } from '../errors/unreachable.js';
import type { Clock } from '../ports/clock.js';
import type { JobEnd, JobRequest } from '../ports/jobs.js';
import type { Logger } from '../ports/logger.js';
import type { Route } from '../types/routing.js';
import { abortQuietly } from '../utils/abortQuietly.js';
import { createDeferred } from '../utils/deferred.js';
import type { Deferred } from '../utils/deferred.js';
import type { HeldClaim, HeldJobs } from './heldJobs.js';
import { judgeHolder } from './holderEvidence.js';
import type { HolderEvidence, HolderJudgement, StartEvidence } from './holderEvidence.js';
import type { HolderQuestions } from './holderQuestions.js';

/** Longest pause before a holder whose runs may go on is asked again, in milliseconds. */
const questionPeriodMs = 200;
/** Shortest time between two questions about a job, in milliseconds. */
const minQuestionPauseMs = 20;
/** Shortest time after which a refused caller is asked to come again, in milliseconds. */
const minRetryAfterMs = 1_000;

/** How an attempt goes on. */
export type JoinOutcome =
  /** The job may start here. */
  | { readonly kind: 'start'; readonly evidence: StartEvidence }
  /** The attempt has this answer; nothing of it has run here. */
  | { readonly kind: 'ended'; readonly end: JobEnd };

/** What a caller has asked for. */
export interface JoinRequest {
  readonly route: Route;
  readonly request: JobRequest;
  /** Time that the caller waits, in milliseconds. */
  readonly deadlineMs: number;
  /** The earliest time at which it can have sent its request, in monotonic time. */
  readonly earliestSentAtMs: number;
  /** Aborted when the caller leaves. */
  readonly signal: AbortSignal;
}

/** An attempt that waits. */
interface Join extends JoinRequest {
  /** Resolved when this daemon ends the wait. */
  readonly givenUp: Deferred<JoinOutcome>;
  /** Holders of which it is known that none of their runs goes on. */
  readonly cleared: Set<string>;
  /** Why the job may start once no claim on it is left. */
  evidence: StartEvidence;
}

export interface JobJoinsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Incarnation of this daemon. */
  readonly ownId: string;
  readonly held: HeldJobs;
  readonly dispatcher: Pick<Dispatcher, 'openBatchesOfJob'>;
  readonly jobs: Pick<RunningJobs, 'state' | 'wasCancelled'>;
  readonly lengths: Pick<RunTimePredictor, 'predictMs'>;
  readonly questions: Pick<HolderQuestions, 'ask'>;
  /** Time from the last word of a requester by which none of its runs goes on, in milliseconds. */
  readonly confirmationMs: number;
}

export class JobJoins {
  private readonly joins = new Set<Join>();

  private constructor(private readonly options: JobJoinsOptions) {}

  static create(options: JobJoinsOptions): JobJoins {
    return new JobJoins(options);
  }

  /** Number of attempts that wait. */
  get size(): number {
    return this.joins.size;
  }

  /** Whether another daemon holds a job that does not run here. */
  isHeldElsewhere(jobId: string): boolean {
    return this.options.jobs.state(jobId) === 'unknown' && this.claimsOn(jobId).length > 0;
  }

  /** Whether an attempt of a job waits here. */
  isWaiting(jobId: string): boolean {
    return [...this.joins].some(({ request }) => request.jobId === jobId);
  }

  /** Ends every wait; nothing of these attempts has run. */
  giveUpAll(reason: string): void {
    const end: JobEnd = { kind: 'refused', reason, retryAfterMs: minRetryAfterMs };
    this.joins.forEach(({ givenUp }) => givenUp.resolve({ kind: 'ended', end }));
  }

  /** Waits until the job has ended elsewhere, may start here, or can no longer end in time here. */
  async wait(attempt: JoinRequest): Promise<JoinOutcome> {
    const { clock, logger } = this.options;
    const { jobId } = attempt.request;
    const startedAtMs = clock.nowMs();
    const join: Join = {
      ...{ ...attempt, givenUp: createDeferred(), cleared: new Set(), evidence: 'not-held' },
    };
    this.joins.add(join);
    const over = new AbortController();
    const outcome = await Promise.race([
      this.waitForHolders(join, over.signal),
      join.givenUp.promise,
      leftOf(attempt.signal),
    ]);
    abortQuietly(over);
    this.joins.delete(join);
    logger.info('The wait for a job that another daemon holds is over.', {
      jobId,
      durationMs: Math.round(clock.nowMs() - startedAtMs),
      ...describe(outcome),
    });
    return outcome;
  }

  /** Asks one holder after the other; ends when `signal` is aborted, at the latest. */
  private async waitForHolders(join: Join, signal: AbortSignal): Promise<JoinOutcome> {
    const { clock, jobs } = this.options;
    const { jobId } = join.request;
    const stopped = aborted(signal);
    let asked: string | undefined;
    while (!signal.aborted) {
      const claim = this.claimsOn(jobId).find(({ holder }) => !join.cleared.has(holder));
      if (jobs.wasCancelled(jobId)) {
        return { kind: 'ended', end: { kind: 'cancelled' } };
      }
      if (claim === undefined || jobs.state(jobId) !== 'unknown') {
        break;
      }
      if (asked !== claim.holder) {
        asked = claim.holder;
        this.logJoin(claim);
      }
      const judgement = await this.judge(claim, stopped);
      const outcome = this.follow(join, claim, judgement);
      if (outcome !== undefined) {
        return outcome;
      }
      await clock.sleep(pauseAfter(judgement, clock.nowMs()), signal);
    }
    return { kind: 'start', evidence: join.evidence };
  }

  /** Asks a holder, no longer than its runs may go on. */
  private async judge(
    claim: HeldClaim,
    stopped: Promise<HolderEvidence>,
  ): Promise<HolderJudgement> {
    const { clock, confirmationMs, questions } = this.options;
    const isOver = new AbortController();
    const evidence = await Promise.race([
      questions.ask(claim),
      clock
        .sleep(Math.max(claim.untilMs - clock.nowMs(), 0), isOver.signal)
        .then((): HolderEvidence => ({ kind: 'no-answer' })),
      stopped,
    ]);
    abortQuietly(isOver);
    return judgeHolder(claim, evidence, clock.nowMs(), confirmationMs);
  }

  /** @returns the outcome that follows from what is known of a holder, if there is one */
  private follow(
    join: Join,
    claim: HeldClaim,
    judgement: HolderJudgement,
  ): JoinOutcome | undefined {
    switch (judgement.kind) {
      case 'ended':
        return { kind: 'ended', end: judgement.end };
      case 'running':
        return undefined;
      case 'may-run':
        join.evidence = 'time-is-over';
        return this.refuseIfLate(join, judgement.untilMs);
      case 'over':
        join.cleared.add(claim.holder);
        join.evidence = judgement.evidence;
        this.options.held.forget(claim);
        return undefined;
      default:
        return unreachable(judgement);
    }
  }

  /** @returns a refusal of an attempt that could not end in time if it started only then */
  private refuseIfLate(join: Join, untilMs: number): JoinOutcome | undefined {
    const { clock, lengths } = this.options;
    const { deadlineMs, earliestSentAtMs, request, route } = join;
    const steps = request.steps.map((step) => ({
      ...step,
      estimatedMs: lengths.predictMs(route.routeId, {
        ...{ declaredMs: step.estimatedMs, deadlineMs },
      }),
    }));
    if (untilMs + criticalPathMs(steps) <= earliestSentAtMs + deadlineMs) {
      return undefined;
    }
    const retryAfterMs = Math.max(Math.ceil(untilMs - clock.nowMs()), minRetryAfterMs);
    const reason = 'runs of an earlier attempt may go on at another daemon';
    return { kind: 'ended', end: { kind: 'refused', reason, retryAfterMs } };
  }

  /** Lists the other daemons that hold a job: as they state it, and as batches of it show that are open here. */
  private claimsOn(jobId: string): HeldClaim[] {
    const { dispatcher, held, ownId } = this.options;
    const stated = held.claimsOn(jobId);
    const batches = dispatcher
      .openBatchesOfJob(jobId)
      .filter(({ askedBy }) => askedBy !== ownId)
      .map(({ askedBy, latestRunsEndAtMs }) => ({
        ...{ jobId, holder: askedBy, via: undefined, untilMs: latestRunsEndAtMs },
      }));
    return [...batches, ...stated];
  }

  private logJoin({ jobId, holder, untilMs }: HeldClaim): void {
    this.options.logger.info('A job waits, since another daemon holds it.', {
      ...{ jobId, nodeId: holder, leftMs: Math.round(untilMs - this.options.clock.nowMs()) },
    });
  }
}

/** Time until a holder is asked again, in milliseconds. */
const pauseAfter = (judgement: HolderJudgement, nowMs: number): number => {
  switch (judgement.kind) {
    case 'may-run':
      return Math.min(Math.max(judgement.untilMs - nowMs, 0), questionPeriodMs);
    case 'running':
      return minQuestionPauseMs;
    case 'ended':
    case 'over':
      return 0;
    default:
      return unreachable(judgement);
  }
};

const aborted = (signal: AbortSignal): Promise<HolderEvidence> =>
  new Promise((resolve) => {
    const end = (): void => resolve({ kind: 'no-answer' });
    signal.addEventListener('abort', end, { once: true });
  });

/** Resolves when a caller has left. */
const leftOf = (signal: AbortSignal): Promise<JoinOutcome> =>
  new Promise((resolve) => {
    const leave = (): void => resolve({ kind: 'ended', end: { kind: 'cancelled' } });
    if (signal.aborted) {
      leave();
      return;
    }
    signal.addEventListener('abort', leave, { once: true });
  });

const describe = (outcome: JoinOutcome): { outcome: string; reason?: string } => {
  switch (outcome.kind) {
    case 'start':
      return { outcome: 'start', reason: outcome.evidence };
    case 'ended': {
      const { end } = outcome;
      return { outcome: end.kind, ...('reason' in end ? { reason: end.reason } : {}) };
    }
    default:
      return unreachable(outcome);
  }
};
