/**
 * How long an attempt whose job another daemon holds waits for an answer of that one, and when it asks again. All times
 * are in milliseconds.
 */
import { unreachable } from '../errors/unreachable.js';
import type { HolderJudgement } from './holderEvidence.js';

/** Longest pause before a holder whose runs may go on is asked again. */
const questionPeriodMs = 200;
/** Shortest time between two questions about a job. */
const minQuestionPauseMs = 20;

/** What an attempt that waits has found so far. */
export interface JoinState {
  /** Time by which an answer still reaches its caller, in monotonic time. */
  readonly answerByMs: number;
  /** What followed from its last question. */
  lastJudgement: HolderJudgement['kind'] | undefined;
}

/**
 * Returns until when, in monotonic time, an answer of a holder is awaited. A job that runs there may end in the last
 * moment; of a holder that was not heard, no answer is expected that comes too late for the caller.
 *
 * @param untilMs - time by which no run of the job goes on there
 */
export const askUntilMs = (
  { answerByMs, lastJudgement }: JoinState,
  untilMs: number,
  nowMs: number,
): number => {
  switch (lastJudgement) {
    case 'running':
    case 'waiting':
      return untilMs;
    case 'unheard':
      return Math.min(untilMs, answerByMs);
    case undefined:
    case 'may-run':
    case 'ended':
    case 'over':
      return nowMs < answerByMs ? Math.min(untilMs, answerByMs) : untilMs;
    default:
      return unreachable(lastJudgement);
  }
};

/** Returns the time until a holder is asked again. */
export const pauseAfter = (
  judgement: HolderJudgement,
  { answerByMs }: JoinState,
  nowMs: number,
): number => {
  switch (judgement.kind) {
    case 'may-run':
      return Math.min(Math.max(judgement.untilMs - nowMs, 0), questionPeriodMs);
    case 'unheard': {
      const leftMs = Math.min(judgement.untilMs, answerByMs) - nowMs;
      return Math.min(Math.max(leftMs, 0), questionPeriodMs);
    }
    case 'waiting':
      return questionPeriodMs;
    case 'running':
      return minQuestionPauseMs;
    case 'ended':
    case 'over':
      return 0;
    default:
      return unreachable(judgement);
  }
};
