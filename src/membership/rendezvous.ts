/**
 * Weighted rendezvous hashing: every daemon computes the same owner of a name from the same members.
 */
import { createHash } from 'node:crypto';

/** A member with its relative size. */
export interface WeightedMember {
  readonly incarnation: string;
  readonly weight: number;
}

const hashRange = 2 ** 48;

/**
 * Chooses the member that owns a name.
 *
 * @param name - what is owned, such as an endpoint id
 * @param members - the live members, in any order
 * @returns the owner, or nothing without members
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
 * Counts the members that go before one of them for a name.
 *
 * @param name - what is owned
 * @param own - the member
 * @param others - the other live members, in any order
 * @returns 0 for the owner
 */
export const rankOwner = (
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
