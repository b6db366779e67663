/**
 * Weighted rendezvous hashing: every daemon computes the same owner of a name from the same
 * members, and a member that joins or leaves changes the owner only of names that it gains or had.
 */
import { createHash } from 'node:crypto';

/** A member with its relative size. */
export interface WeightedMember {
  /** Identity of the member, which is hashed. */
  readonly incarnation: string;
  /** A member owns names in proportion to its weight. */
  readonly weight: number;
}

/** Number of values of the 6 bytes of the hash that are used. */
const hashRange = 2 ** 48;

/**
 * Chooses the member that owns a name.
 *
 * @param name - the name, such as an endpoint id
 * @param members - the live members, in any order
 * @returns the owner, or undefined without members
 */
export const chooseOwner = (
  name: string,
  members: readonly WeightedMember[],
): WeightedMember | undefined => {
  let best: WeightedMember | undefined;
  let bestScore = -Infinity;
  for (const member of members) {
    const score = computeScore(name, member);
    if (score > bestScore) {
      best = member;
      bestScore = score;
    }
  }
  return best;
};

/**
 * Ranks a member for a name: counts the members with a higher score.
 *
 * @param name - the name
 * @param own - the member
 * @param others - the other live members, in any order
 * @returns the rank, 0 for the owner of the name
 */
export const rankMember = (
  name: string,
  own: WeightedMember,
  others: readonly WeightedMember[],
): number => {
  const ownScore = computeScore(name, own);
  return others.filter((other) => computeScore(name, other) > ownScore).length;
};

/** Score of the logarithmic method: -weight / ln(hash), hash evenly spread over (0, 1). */
const computeScore = (name: string, { incarnation, weight }: WeightedMember): number => {
  const digest = createHash('sha256').update(`${name} ${incarnation}`).digest();
  const unit = (digest.readUIntBE(0, 6) + 0.5) / hashRange;
  return -weight / Math.log(unit);
};
