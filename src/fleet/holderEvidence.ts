/**
 * What is known of the runs of a job that another daemon holds, and whether the job may start here beside that. Nothing
 * else decides it.
 */
import { unreachable } from '../errors/unreachable.js';
import type { HolderAnswer } from '../ports/fleetPeers.js';
import type { JobEnd } from '../ports/jobs.js';
import type { HeldClaim } from './heldJobs.js';

/** What a question to a holder has shown. */
export type HolderEvidence =
  | { readonly kind: 'answered'; readonly answer: HolderAnswer }
  /** Its process has ended; nothing it said is later than this, in monotonic time. */
  | { readonly kind: 'gone'; readonly latestWordAtMs: number }
  /** It may be alive, such as behind a cut, or of a version that answers no such question. */
  | { readonly kind: 'no-answer' };

/** Why a job may start though another daemon held it. */
export type StartEvidence =
  /** No daemon states that it holds the job. */
  | 'not-held'
  /** The holder says that none of its runs goes on. */
  | 'holder-has-none'
  /** Another attempt waits there, for this one. */
  | 'holder-waits'
  /** The time is over by which its runs have ended: as the holder has stated it, or after the last word of one that is gone. */
  | 'time-is-over';

/** What follows for the next attempt of the job. */
export type HolderJudgement =
  /** The job has this end, also for its next attempt. */
  | { readonly kind: 'ended'; readonly end: JobEnd }
  /** It runs there until this time at the latest, in monotonic time. */
  | { readonly kind: 'running'; readonly untilMs: number }
  /** Runs may go on until this time, in monotonic time, and their end would be no answer. */
  | { readonly kind: 'may-run'; readonly untilMs: number }
  /** Runs may go on until this time, in monotonic time, and the holder may yet be heard with their end. */
  | { readonly kind: 'unheard'; readonly untilMs: number }
  /** An earlier attempt of it waits there, and may start it. */
  | { readonly kind: 'waiting' }
  | { readonly kind: 'over'; readonly evidence: StartEvidence };

/** An attempt goes before another one that waits if it is older by more than this, by which clocks may differ, in milliseconds. */
const minAgeLeadMs = 5;

/** What is known of a job before its holder is asked. */
export interface JudgedClaim extends Pick<HeldClaim, 'untilMs'> {
  /** The earliest time at which the request of the own attempt can have been sent, in monotonic time. */
  readonly earliestSentAtMs: number;
  /**
   * When the question was sent, in monotonic time. The own age counts from then, and the other one from the answer, so that
   * of two attempts that ask each other one at most is the older one, however late the answers are.
   */
  readonly askedAtMs: number;
}

/**
 * Judges whether runs of a job go on at its holder.
 *
 * @param claim - what the holder has stated, and the attempt that waits for it
 * @param evidence - what a question to it has shown
 * @param nowMs - the current monotonic time
 * @param confirmationMs - time from the last word of a requester by which none of its runs goes on
 */
export const judgeHolder = (
  claim: JudgedClaim,
  evidence: HolderEvidence,
  nowMs: number,
  confirmationMs: number,
): HolderJudgement => {
  switch (evidence.kind) {
    case 'answered':
      return judgeAnswer(claim, evidence.answer, nowMs);
    case 'gone':
      return untilOver(
        {
          kind: 'may-run',
          untilMs: Math.min(claim.untilMs, evidence.latestWordAtMs + confirmationMs),
        },
        nowMs,
      );
    case 'no-answer':
      return untilOver({ kind: 'unheard', untilMs: claim.untilMs }, nowMs);
    default:
      return unreachable(evidence);
  }
};

const judgeAnswer = (
  { untilMs, earliestSentAtMs, askedAtMs }: JudgedClaim,
  answer: HolderAnswer,
  nowMs: number,
): HolderJudgement => {
  switch (answer.kind) {
    case 'ended':
      return answer;
    case 'running':
      return { kind: 'running', untilMs: nowMs + answer.leftMs };
    case 'waiting':
      return askedAtMs - earliestSentAtMs > answer.ageMs + minAgeLeadMs
        ? { kind: 'over', evidence: 'holder-waits' }
        : { kind: 'waiting' };
    case 'may-run':
      return untilOver({ kind: 'may-run', untilMs: nowMs + answer.leftMs }, nowMs);
    case 'none-runs':
      return { kind: 'over', evidence: 'holder-has-none' };
    case 'unknown':
      return untilOver({ kind: 'unheard', untilMs }, nowMs);
    case 'replaced':
      return untilOver({ kind: 'may-run', untilMs }, nowMs);
    default:
      return unreachable(answer);
  }
};

const untilOver = (
  judgement: Extract<HolderJudgement, { kind: 'may-run' | 'unheard' }>,
  nowMs: number,
): HolderJudgement =>
  judgement.untilMs > nowMs ? judgement : { kind: 'over', evidence: 'time-is-over' };
