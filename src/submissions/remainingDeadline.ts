/**
 * Deadline of a submission that is forwarded to another daemon or has waited for a claim.
 */
import type { SubmissionBody } from '../ports/peers.js';

/**
 * Replaces the deadline, which counts from the arrival of a submission, by the time that is left.
 *
 * @param body - the submission's body; an invalid one is returned as it is
 * @param leftMs - time left in milliseconds; the new deadline is at least 1 ms
 */
export const withRemainingDeadline = (body: SubmissionBody, leftMs: number): SubmissionBody => {
  if (body.kind === 'invalid') {
    return body;
  }
  const deadlineMs = Math.max(1, Math.floor(leftMs));
  return { kind: 'valid', submission: { ...body.submission, deadlineMs } };
};
