/**
 * Schemas of the stream of claims, which decides the owner of each plain key.
 */
import { z } from 'zod';
import { problemSchema } from '../errors/problem.js';
import { ownerSchema } from '../ports/peers.js';

/** Name of the stream at the log service. */
export const claimStream = 'claims';

/** The caller and its plain key. */
const claimIdentity = { callerId: z.string().max(64), key: z.string().max(256) };

/**
 * One record of the stream. The first record of a key in log order decides: a claim names the
 * daemon that owns the submission, a refusal is the answer to the caller.
 */
export const claimRecordSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('claim'), ...claimIdentity, owner: ownerSchema }),
  z.object({ kind: z.literal('refusal'), ...claimIdentity, problem: problemSchema }),
]);
export type ClaimRecord = z.infer<typeof claimRecordSchema>;

/** Result of an attempt to decide a key. */
export type ClaimDecision =
  /** The first record of the key has been read. */
  | { readonly kind: 'decided'; readonly record: ClaimRecord }
  /** The log has dropped records before they were read; one of them may decide the key. */
  | { readonly kind: 'unproved' }
  /** The first record was not read in time; an append may still take effect later. */
  | { readonly kind: 'unavailable' };
