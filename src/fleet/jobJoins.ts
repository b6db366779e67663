/**
 * The attempts of callers whose job another daemon holds for an earlier attempt. Each waits for the job's end there, and
 * starts the job here only once no run of it goes on elsewhere. Nothing of it runs meanwhile.
 */
import { criticalPathMs } from '../bestEffort/objective.js';
import type { RunTimePredictor } from '../bestEffort/runTimePredictor.js';
import type { HeldJob, RunningJobs } from '../bestEffort/runningJobs.js';
import type { Dispatcher } from '../dispatch/dispatcher.js';
import type { LeaseTimes } from '../dispatch/leaseTimes.js';
import { unreachable } from '../errors/unreachable.js';
import type { Clock } from '../ports/clock.js';
import type { HolderAnswer } from '../ports/fleetPeers.js';
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
import { describeOutcome, minRetryAfterMs, refuseUntil, whenLeft } from './joinOutcome.js';
import type { JoinOutcome } from './joinOutcome.js';
import { askUntilMs, pauseAfter } from './joinTimes.js';
import type { JoinState } from './joinTimes.js';
import { deadlineTimesFor } from './requesterTimes.js';

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
interface Join extends JoinRequest, JoinState {
  /** Resolved when this daemon ends the wait. */
  readonly givenUp: Deferred<JoinOutcome>;
  /** Requesters of open batches of which it is known that none of their runs goes on. */
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
  readonly leaseTimes: LeaseTimes;
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

  /** Lists the jobs that attempts wait for, which may start here, so that later attempts elsewhere wait for these ones. */
  listWaiting(): HeldJob[] {
    const { clock, leaseTimes } = this.options;
    const nowMs = clock.nowMs();
    return [...this.joins].map(({ request, deadlineMs, earliestSentAtMs }) => {
      const { runsEndMs } = deadlineTimesFor(deadlineMs, leaseTimes);
      const leftMs = Math.max(earliestSentAtMs + runsEndMs - nowMs, 0);
      return { jobId: request.jobId, leftMs };
    });
  }

  /** Tells another daemon of the earliest attempt of a job that waits here, if one does. */
  answerFor(jobId: string): HolderAnswer | undefined {
    const waiting = [...this.joins].filter(({ request }) => request.jobId === jobId);
    if (waiting.length === 0) {
      return undefined;
    }
    const firstSentAtMs = Math.min(...waiting.map(({ earliestSentAtMs }) => earliestSentAtMs));
    return { kind: 'waiting', ageMs: this.options.clock.nowMs() - firstSentAtMs };
  }

  /** Ends every wait; nothing of these attempts has run. */
  giveUpAll(reason: string): void {
    const end: JobEnd = { kind: 'refused', reason, retryAfterMs: minRetryAfterMs };
    this.joins.forEach(({ givenUp }) => givenUp.resolve({ kind: 'ended', end }));
  }

  /** Waits until the job has ended elsewhere, may start here, or can no longer end in time here. */
  async wait(attempt: JoinRequest): Promise<JoinOutcome> {
    const { clock, leaseTimes, logger } = this.options;
    const { jobId } = attempt.request;
    const startedAtMs = clock.nowMs();
    const join: Join = {
      ...{ ...attempt, givenUp: createDeferred(), cleared: new Set(), evidence: 'not-held' },
      answerByMs:
        attempt.earliestSentAtMs + deadlineTimesFor(attempt.deadlineMs, leaseTimes).giveUpMs,
      lastJudgement: undefined,
    };
    this.joins.add(join);
    const over = new AbortController();
    const outcome = await Promise.race([
      this.waitForHolders(join, over.signal),
      join.givenUp.promise,
      whenLeft(attempt.signal),
    ]).finally(() => {
      abortQuietly(over);
      this.joins.delete(join);
    });
    logger.info('The wait for a job that another daemon holds is over.', {
      jobId,
      durationMs: Math.round(clock.nowMs() - startedAtMs),
      ...describeOutcome(outcome),
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
      const [claim] = this.claimsOn(jobId, join.cleared);
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
      const judgement = await this.judge(join, claim, stopped);
      join.lastJudgement = judgement.kind;
      const outcome = this.follow(join, claim, judgement);
      if (outcome !== undefined) {
        return outcome;
      }
      await clock.sleep(pauseAfter(judgement, join, clock.nowMs()), signal);
    }
    return { kind: 'start', evidence: join.evidence };
  }

  /** Asks a holder, no longer than its runs may go on and the caller can wait. */
  private async judge(
    join: Join,
    claim: HeldClaim,
    stopped: Promise<HolderEvidence>,
  ): Promise<HolderJudgement> {
    const { clock, leaseTimes, questions } = this.options;
    const isOver = new AbortController();
    const askedAtMs = clock.nowMs();
    const evidence = await Promise.race([
      questions.ask(claim),
      clock
        .sleep(
          Math.max(askUntilMs(join, claim.untilMs, clock.nowMs()) - clock.nowMs(), 0),
          isOver.signal,
        )
        .then((): HolderEvidence => ({ kind: 'no-answer' })),
      stopped,
    ]);
    abortQuietly(isOver);
    const { untilMs } = claim;
    const { earliestSentAtMs } = join;
    const { confirmationMs } = leaseTimes;
    return judgeHolder(
      { untilMs, earliestSentAtMs, askedAtMs },
      ...[evidence, clock.nowMs(), confirmationMs],
    );
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
      case 'waiting':
        return undefined;
      case 'may-run':
        join.evidence = 'time-is-over';
        return this.refuseIfLate(join, judgement.untilMs);
      case 'unheard': {
        join.evidence = 'time-is-over';
        const nowMs = this.options.clock.nowMs();
        return nowMs < join.answerByMs ? undefined : refuseUntil(judgement.untilMs, nowMs);
      }
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
    return refuseUntil(untilMs, clock.nowMs());
  }

  /**
   * Lists the other daemons that hold a job: as they state it, and as batches of it show that are open here. What a
   * cleared one has stated is forgotten, so that a statement of it is a newer one.
   */
  private claimsOn(jobId: string, cleared: ReadonlySet<string> = new Set()): HeldClaim[] {
    const { dispatcher, held, ownId } = this.options;
    const stated = held.claimsOn(jobId);
    const batches = dispatcher
      .openBatchesOfJob(jobId)
      .filter(({ askedBy }) => askedBy !== ownId && !cleared.has(askedBy))
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

const aborted = (signal: AbortSignal): Promise<HolderEvidence> =>
  new Promise((resolve) => {
    const end = (): void => resolve({ kind: 'no-answer' });
    signal.addEventListener('abort', end, { once: true });
  });
