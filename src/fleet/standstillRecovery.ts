/**
 * What follows a standstill of this process: all earlier work ends, and what the store granted and published
 * meanwhile is read anew.
 */
import type { Dispatcher } from '../dispatch/dispatcher.js';
import { unreachable } from '../errors/unreachable.js';
import type { RoutingFollower } from '../routing/routingFollower.js';
import type { CallerContact } from './callerContact.js';
import type { JobIntake } from './jobIntake.js';
import type { MessageAges } from './messageAges.js';
import type { ShardMembership } from './shardMembership.js';
import type { Standstill } from './standstillDetector.js';

/** What relies on permissions that may have run out. */
export interface StandstillRecoveryOptions {
  readonly ages: MessageAges;
  readonly contact: CallerContact;
  readonly intake: Pick<JobIntake, 'giveUpAll'>;
  readonly dispatcher: Dispatcher;
  readonly shards: ShardMembership;
  readonly routingFollower: RoutingFollower;
}

/**
 * Ends all jobs and batches, whose callers and requesters no longer wait for this daemon, and renews the
 * membership and the routing.
 */
export const recoverFromStandstill = (
  standstill: Standstill,
  { ages, contact, intake, dispatcher, shards, routingFollower }: StandstillRecoveryOptions,
): void => {
  if (standstill.kind === 'suspended') {
    [ages, contact, dispatcher].forEach((one) => one.recordSuspension(standstill.durationMs));
  }
  intake.giveUpAll(reasonOf(standstill));
  dispatcher.requesters().forEach((requester) => dispatcher.withdrawAll(requester));
  shards.refresh();
  routingFollower.refresh();
};

const reasonOf = ({ kind }: Standstill): string => {
  switch (kind) {
    case 'suspended':
      return 'the VM was suspended';
    case 'stalled':
      return 'the process stood still';
    default:
      return unreachable(kind);
  }
};
