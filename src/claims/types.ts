/**
 * Schemas of the stream of claims, on which plain keys get their owner.
 */
import { z } from 'zod';
import { problemSchema } from '../errors/problem.js';
import { ownerSchema } from '../ports/peers.js';

export const claimStream = 'claims';

const claimIdentity = { callerId: z.string().max(64), key: z.string().max(256) };

/** One record of the stream; the first record of a key in log order decides. */
export const claimRecordSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('claim'), ...claimIdentity, owner: ownerSchema }),
  z.object({ kind: z.literal('refusal'), ...claimIdentity, problem: problemSchema }),
]);
export type ClaimRecord = z.infer<typeof claimRecordSchema>;

/** What became of an attempt to decide a key. */
export type Verdict =
  | { readonly kind: 'decided'; readonly record: ClaimRecord }
  /** Older records that could decide the key are gone from the log. */
  | { readonly kind: 'unproved' }
  /** The log gave no answer in time; the attempt may take effect later. */
  | { readonly kind: 'unavailable' };
