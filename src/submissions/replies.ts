/**
 * Replies about submissions that more than one table gives.
 */
import { createProblem } from '../errors/problem.js';
import type { Problem } from '../errors/problem.js';
import { unreachable } from '../errors/unreachable.js';
import type { JobStatus, StatusReply, SubmissionBody, SubmitOutcome } from '../ports/peers.js';
import { digestSubmission } from './digest.js';
import type { SubmissionRecord } from './types.js';

/** Digest of a body that is not valid; a record with it stands for any body. */
const noDigest = '';

export const refused = (problem: Problem): SubmitOutcome => ({ kind: 'refused', problem });

/** Computes the digest by which a resubmission is told from another submission. */
export const digestBody = (body: SubmissionBody): string =>
  body.kind === 'valid' ? digestSubmission(body.submission) : noDigest;

/**
 * Gives a resubmission what became of the first copy.
 *
 * @param record - what is remembered
 * @param digest - digest of the resubmission
 * @returns the answer or the refusal of the first copy, or `key-conflict` for other tasks
 */
export const attach = async (record: SubmissionRecord, digest: string): Promise<SubmitOutcome> => {
  if (record.digest !== digest && record.digest !== noDigest) {
    return refused(createProblem('key-conflict', 'The key was used with other tasks.'));
  }
  switch (record.state) {
    case 'running':
      return { kind: 'answered', answer: await record.job.answer };
    case 'answered':
      return { kind: 'answered', answer: record.answer };
    case 'refused':
      return refused(record.problem);
    default:
      return unreachable(record);
  }
};

/** Tells the status that a record stands for. */
export const toStatus = (record: SubmissionRecord): JobStatus => {
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

export const known = (record: SubmissionRecord): StatusReply => ({
  kind: 'known',
  status: toStatus(record),
});

export const unknown = (problem: Problem): StatusReply => ({ kind: 'unknown', problem });

/** The key's owner never started the submission, and never will. */
export const neverStarted = (): Problem =>
  createProblem('epoch-closed', 'The owner of the key never started it and starts nothing more.');

/** What the owner knew of the key was dropped. */
export const forgotten = (): Problem =>
  createProblem('outcome-unknown', 'What became of the key is no longer remembered.');

/** No daemon that could tell what became of the key can be reached. */
export const ownerGone = (): Problem =>
  createProblem('outcome-unknown', 'The daemon that owns the key gave no answer.');

/** A claim names this daemon, but an earlier claim may exist. */
export const ownerUnproven = (): Problem =>
  createProblem('outcome-unknown', 'An earlier claim of the key may exist.');

/** The log, which decides plain keys, gave no answer. */
export const logUnavailable = (): Problem =>
  createProblem('unavailable', 'The log that decides plain keys cannot be reached.');
