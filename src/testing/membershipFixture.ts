/**
 * Memberships of one daemon for tests, and a store that grants what the test says.
 */
import { Ok } from 'ts-results-es';
import { ShardMembership } from '../fleet/shardMembership.js';
import type { ShardMembershipOptions } from '../fleet/shardMembership.js';
import type { FleetStore } from '../ports/fleetStore.js';
import type { ShardGrant } from '../types/fleet.js';
import type { FakeClock } from './fakeClock.js';
import { silentLogger } from './silentLogger.js';
import { silentSupervisor } from './silentSupervisor.js';

const member = { incarnation: 'a', address: '127.0.0.1:1', failureDomainId: 'east', weight: 1 };

/** A membership of a daemon that is always needed and never stands still, unless the options say otherwise. */
export const createMembership = (
  clock: FakeClock,
  options: Pick<ShardMembershipOptions, 'store' | 'onGrant'> & Partial<ShardMembershipOptions>,
): ShardMembership =>
  ShardMembership.create({
    supervisor: silentSupervisor(clock),
    clock,
    logger: silentLogger,
    member,
    onStoreReachable: () => undefined,
    isNeeded: () => true,
    checkStandstill: () => undefined,
    ...options,
  });

/** A store that answers each renewal with the grant of the moment. */
export interface GrantingStore {
  readonly store: FleetStore;
  /** What the next renewals are answered with. */
  grant: ShardGrant;
  /** Generations that the renewals have confirmed, the last one at the end. */
  readonly confirmed: readonly number[];
}

/** @returns a store that grants the given shards until the test changes `grant` */
export const createGrantingStore = (shards: number[]): GrantingStore => {
  const confirmed: number[] = [];
  const granting: GrantingStore = {
    grant: { generation: 1, shards },
    confirmed,
    store: {
      join: async (_member: unknown, generation: number) => {
        confirmed.push(generation);
        return Ok(granting.grant);
      },
    } as unknown as FleetStore,
  };
  return granting;
};
