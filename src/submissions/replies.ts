/**
 * Outcomes, status replies and problems that more than one module of this folder returns.
 */
import { createProblem } from '../errors/problem.js';
import type { Problem } from '../errors/problem.js';
import { unreachable } from '../errors/unreachable.js';
import type { JobStatus, StatusReply, SubmissionBody, SubmitOutcome } from '../ports/peers.js';
import { digestSubmission } from './digest.js';
import type { SubmissionRecord } from './types.js';

/** Digest of an invalid body; a record with this digest matches a resubmission with any body. */
const invalidBodyDigest = '';

/** Creates the outcome of a submission that is refused. */
export const createRefusal = (problem: Problem): SubmitOutcome => ({ kind: 'refused', problem });

/** Computes the digest by which a resubmission is distinguished from another submission. */
export const digestBody = (body: SubmissionBody): string =>
  body.kind === 'valid' ? digestSubmission(body.submission) : invalidBodyDigest;

/**
 * Answers a resubmission from the record of the first copy; waits for the answer of a running job.
 *
 * @param record - the record of the first copy
 * @param digest - digest of the resubmission
 * @returns the answer or the refusal of the first copy, or `key-conflict` for other tasks
 */
export const answerResubmission = async (
  record: SubmissionRecord,
  digest: string,
): Promise<SubmitOutcome> => {
  if (record.digest !== digest && record.digest !== invalidBodyDigest) {
    return createRefusal(createProblem('key-conflict', 'The key was used with other tasks.'));
  }
  switch (record.state) {
    case 'running':
      return { kind: 'answered', answer: await record.job.answer };
    case 'answered':
      return { kind: 'answered', answer: record.answer };
    case 'refused':
      return createRefusal(record.problem);
    default:
      return unreachable(record);
  }
};

/** Converts a record to the status that callers get. */
export const toJobStatus = (record: SubmissionRecord): JobStatus => {
  switch (record.state) {
    case 'running':
      return { state: 'running' };
    case 'answered':
      return { state: 'answered', answer: record.answer };
    case 'refused':
      return { state: 'refused', problem: record.problem };
    default:
      return unreachable(record);
  }
};

/** Creates the reply to a status request about a submission with a record. */
export const createKnownReply = (record: SubmissionRecord): StatusReply => ({
  kind: 'known',
  status: toJobStatus(record),
});

/** Creates the reply to a status request about a submission whose state this daemon cannot tell. */
export const createUnknownReply = (problem: Problem): StatusReply => ({ kind: 'unknown', problem });

/** The owner of the key never started the submission, and never will. */
export const createNeverStartedProblem = (): Problem =>
  createProblem('epoch-closed', 'The owner of the key never started it and starts nothing more.');

/** The records of the key's epoch were discarded, or never arrived here completely. */
export const createDiscardedProblem = (): Problem =>
  createProblem('outcome-unknown', 'What became of the key is no longer remembered.');

/** Neither the owner of the key nor a successor that holds its table has replied. */
export const createOwnerUnreachableProblem = (): Problem =>
  createProblem('outcome-unknown', 'The daemon that owns the key gave no answer.');

/** A claim names this daemon as the owner, but an earlier claim may exist. */
export const createOwnerUnprovenProblem = (): Problem =>
  createProblem('outcome-unknown', 'An earlier claim of the key may exist.');

/** The log, which decides the owners of plain keys, gave no answer. */
export const createLogUnavailableProblem = (): Problem =>
  createProblem('unavailable', 'The log that decides plain keys cannot be reached.');
