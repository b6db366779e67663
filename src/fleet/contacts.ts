/**
 * Which daemons of other failure domains this one keeps contact with: a few of each, so that the
 * messages between daemons do not grow with the square of the fleet.
 */
import { createHash } from 'node:crypto';

/** Daemons of each other failure domain that a daemon keeps contact with. */
const contactsPerDomain = 2;

/** A daemon of another failure domain. */
export interface FarDaemon {
  readonly address: string;
  readonly failureDomainId: string;
  /** From `rankContact`; low ranks go first. */
  readonly rank: number;
  readonly isHeard: boolean;
  /** Heartbeats without an answer since it was heard last. */
  readonly failures: number;
}

/**
 * Chooses the contacts. Daemons are ranked by a hash of both addresses, so that contacts are spread
 * evenly; those that are heard stay, and while one is missing, others are tried in turn.
 *
 * @param daemons - the daemons of other failure domains
 * @returns addresses of the contacts
 */
export const chooseContacts = (daemons: readonly FarDaemon[]): ReadonlySet<string> => {
  const domains = new Set(daemons.map(({ failureDomainId }) => failureDomainId));
  return new Set(
    [...domains].flatMap((domain) =>
      chooseInDomain(daemons.filter(({ failureDomainId }) => failureDomainId === domain)),
    ),
  );
};

const chooseInDomain = (daemons: readonly FarDaemon[]): string[] => {
  const ranked = [...daemons].sort((a, b) => a.rank - b.rank);
  const heard = ranked.filter(({ isHeard }) => isHeard).slice(0, contactsPerDomain);
  const tryCount = heard.length < contactsPerDomain ? contactsPerDomain : 0;
  const tried = ranked
    .filter(({ isHeard }) => !isHeard)
    .sort((a, b) => a.failures - b.failures)
    .slice(0, tryCount);
  return [...heard, ...tried].map(({ address }) => address);
};

/**
 * Ranks a daemon among the possible contacts of another; the same both ways.
 *
 * @param ownAddress - address of the one
 * @param address - address of the other
 */
export const rankContact = (ownAddress: string, address: string): number =>
  createHash('sha256').update([ownAddress, address].sort().join(' ')).digest().readUInt32BE(0);
