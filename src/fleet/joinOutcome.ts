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
