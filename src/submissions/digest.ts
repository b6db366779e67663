/**
 * Digest of a submission's tasks, by which a resubmission is distinguished from another submission.
 */
import { createHash } from 'node:crypto';
import type { Submission } from '../types/jobs.js';

/**
 * Computes the digest of the tasks. The deadline is left out, since a resubmission may state another.
 *
 * @param submission - the submission
 * @returns SHA-256 in base64url
 */
export const digestSubmission = (submission: Submission): string =>
  createHash('sha256').update(JSON.stringify(submission.tasks)).digest('base64url');
