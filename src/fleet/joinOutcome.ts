/**
 * How an attempt goes on whose job another daemon holds.
 */
import { unreachable } from '../errors/unreachable.js';
import type { JobEnd } from '../ports/jobs.js';
import type { StartEvidence } from './holderEvidence.js';

/** How an attempt goes on. */
export type JoinOutcome =
  /** The job may start here. */
  | { readonly kind: 'start'; readonly evidence: StartEvidence }
  /** The attempt has this answer; nothing of it has run here. */
  | { readonly kind: 'ended'; readonly end: JobEnd };

/** Shortest time after which a refused caller is asked to come again, in milliseconds. */
export const minRetryAfterMs = 1_000;
/** The longest such time: a holder that was not heard may be heard again long before its runs have ended for certain. */
const maxRetryAfterMs = 5_000;

/** Refuses an attempt that nothing serves in its caller's time, since runs may go on elsewhere until then. */
export const refuseUntil = (untilMs: number, nowMs: number): JoinOutcome => {
  const leftMs = Math.ceil(untilMs - nowMs);
  const retryAfterMs = Math.min(Math.max(leftMs, minRetryAfterMs), maxRetryAfterMs);
  const reason = 'runs of an earlier attempt may go on at another daemon';
  return { kind: 'ended', end: { kind: 'refused', reason, retryAfterMs } };
};

/** Resolves when a caller has left. */
export const whenLeft = (signal: AbortSignal): Promise<JoinOutcome> =>
  new Promise((resolve) => {
    const leave = (): void => resolve({ kind: 'ended', end: { kind: 'cancelled' } });
    if (signal.aborted) {
      leave();
      return;
    }
    signal.addEventListener('abort', leave, { once: true });
  });

/** Describes an outcome for the log. */
export const describeOutcome = (outcome: JoinOutcome): { outcome: string; reason?: string } => {
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
