/**
 * Parses submission keys, which have two forms: an owned key names the daemon process that may start
 * the submission, and a plain key is a stable id that the caller chooses.
 */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { createProblem } from '../errors/problem.js';
import type { Problem } from '../errors/problem.js';
import type { Owner } from '../ports/peers.js';

export const maxKeyLength = 128;

/** `INCARNATION.EPOCH~SUFFIX` */
const ownedPattern = /^([0-9a-z]{1,32})\.(\d{1,9})~([A-Za-z0-9._:-]{1,80})$/;
const plainPattern = /^[A-Za-z0-9._:-]+$/;

/** A valid key. Owned keys contain `~` and plain keys do not, so the two forms never collide. */
export type SubmissionKey =
  | {
      readonly form: 'owned';
      readonly text: string;
      /** The daemon process and epoch that alone may start the submission. */
      readonly owner: Owner;
    }
  | { readonly form: 'plain'; readonly text: string };

/**
 * Formats the owner part of an owned key.
 *
 * @param owner - incarnation and epoch
 * @returns the text before the `~` of an owned key
 */
export const formatOwner = (owner: Owner): string => `${owner.incarnation}.${owner.epoch}`;

/**
 * Parses a key.
 *
 * @param text - the value of the `Idempotency-Key` header
 * @returns the key, or an `invalid-request` problem
 */
export const parseSubmissionKey = (text: string): Result<SubmissionKey, Problem> => {
  if (text.length === 0 || text.length > maxKeyLength) {
    return Err(createKeyProblem(`The key must have 1 to ${maxKeyLength} characters.`));
  }
  if (!text.includes('~')) {
    return plainPattern.test(text)
      ? Ok({ form: 'plain', text })
      : Err(createKeyProblem('A plain key has only letters, digits and . _ : -'));
  }
  const match = ownedPattern.exec(text);
  if (match?.[1] === undefined || match[2] === undefined) {
    return Err(
      createKeyProblem('An owned key reads OWNER~SUFFIX with an OWNER from GET /v1/owner.'),
    );
  }
  const owner = { incarnation: match[1], epoch: Number(match[2]) };
  return Ok({ form: 'owned', text, owner });
};

const createKeyProblem = (detail: string): Problem =>
  createProblem('invalid-request', detail, { where: 'Idempotency-Key' });
