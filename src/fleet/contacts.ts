/**
 * Chooses the daemons of other failure domains with which this one exchanges heartbeats: a few of
 * each domain, so that the number of messages does not grow with the square of the fleet.
 */
import { createHash } from 'node:crypto';

/** Number of daemons in each other failure domain with which a daemon keeps contact. */
const contactsPerDomain = 2;

/** A daemon of another failure domain. */
export interface RemoteDomainDaemon {
  readonly address: string;
  readonly failureDomainId: string;
  /** Result of `rankContact`; the lowest ranks are preferred. */
  readonly rank: number;
  readonly isReachable: boolean;
  /** Number of heartbeats without an answer since it was last reachable. */
  readonly unansweredHeartbeats: number;
}

/**
 * Chooses the contacts. Daemons are ranked by a hash of both addresses, so that contacts are spread
 * evenly. Reachable daemons are chosen first; while a domain has too few of them, the unreachable
 * ones with the fewest unanswered heartbeats are tried too, so that each gets its turn.
 *
 * @param daemons - the daemons of other failure domains
 * @returns addresses of the contacts
 */
export const chooseContacts = (daemons: readonly RemoteDomainDaemon[]): ReadonlySet<string> => {
  const domains = new Set(daemons.map(({ failureDomainId }) => failureDomainId));
  return new Set(
    [...domains].flatMap((domain) =>
      chooseInDomain(daemons.filter(({ failureDomainId }) => failureDomainId === domain)),
    ),
  );
};

const chooseInDomain = (daemons: readonly RemoteDomainDaemon[]): string[] => {
  const ranked = [...daemons].sort((a, b) => a.rank - b.rank);
  const reachable = ranked.filter(({ isReachable }) => isReachable).slice(0, contactsPerDomain);
  const tryCount = reachable.length < contactsPerDomain ? contactsPerDomain : 0;
  const tried = ranked
    .filter(({ isReachable }) => !isReachable)
    .sort((a, b) => a.unansweredHeartbeats - b.unansweredHeartbeats)
    .slice(0, tryCount);
  return [...reachable, ...tried].map(({ address }) => address);
};

/**
 * Ranks a daemon among the possible contacts of another. Both daemons compute the same rank.
 *
 * @param ownAddress - address of one daemon
 * @param address - address of the other
 * @returns an integer from 0 to 2^32 - 1
 */
export const rankContact = (ownAddress: string, address: string): number =>
  createHash('sha256').update([ownAddress, address].sort().join(' ')).digest().readUInt32BE(0);
