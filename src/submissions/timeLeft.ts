/**
 * Time that a submission has left when it goes on to another place.
 */
import type { SubmissionBody } from '../ports/peers.js';

/**
 * Replaces the deadline, which counts from the arrival, by the time that is left.
 *
 * @param body - the submission's body
 * @param leftMs - time left in milliseconds
 */
export const withTimeLeft = (body: SubmissionBody, leftMs: number): SubmissionBody => {
  if (body.kind === 'invalid') {
    return body;
  }
  const deadlineMs = Math.max(1, Math.floor(leftMs));
  return { kind: 'valid', submission: { ...body.submission, deadlineMs } };
};
