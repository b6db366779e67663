/**
 * How often a daemon exchanges heartbeats with a peer, and after which silence the peer counts as
 * unreachable. The number of pairs in a failure domain grows with the square of its daemons, so pairs
 * that have little to tell each other do so less often.
 */
import type { Clock } from '../ports/clock.js';
import type { Member } from '../types/fleet.js';
import type { FleetPeer } from './fleetPeer.js';
import { heartbeatTickMs, maxSilentPeriods } from './requesterTimes.js';

/**
 * What two daemons are to each other. `sharing`: one has batches at the other, which has to stop them
 * soon after the first is lost. `dispatching`: at least one reports the load of workers to the other.
 * `standing-by`: both are in one failure domain and neither dispatches.
 */
type PeerRelation = 'sharing' | 'dispatching' | 'standing-by';

/** Time between two heartbeats to a reachable peer, in milliseconds. */
const periodsMs: Readonly<Record<PeerRelation, number>> = {
  sharing: heartbeatTickMs,
  dispatching: 2 * heartbeatTickMs,
  'standing-by': 5 * heartbeatTickMs,
};

export interface PeerRelationsOptions {
  readonly clock: Clock;
  readonly own: Member;
  /** Whether this daemon dispatches to workers. */
  readonly isDispatching: () => boolean;
  /** Whether this daemon has batches at the given process, or the other way round. */
  readonly sharesBatches: (incarnation: string) => boolean;
}

export class PeerRelations {
  private constructor(private readonly options: PeerRelationsOptions) {}

  static create(options: PeerRelationsOptions): PeerRelations {
    return new PeerRelations(options);
  }

  /** @returns time between two heartbeats to a peer while it is reachable, in milliseconds */
  heartbeatPeriodMs(peer: FleetPeer): number {
    return periodsMs[this.relationTo(peer)];
  }

  /**
   * Whether this daemon takes a peer for a dispatcher that it can ask: it sent a message as recently as
   * its relation requires. Where batches are shared only since a short while, heartbeats came less often
   * until then. It permits the peer nothing: the lease of a requester is judged by `RequesterLeases`.
   */
  isReachable(peer: FleetPeer): boolean {
    const relation = this.relationTo(peer);
    const nowMs = this.options.clock.nowMs();
    const maxSilenceMs = periodsMs[relation] * maxSilentPeriods;
    return (
      peer.hadContactWithin(nowMs, maxSilenceMs) ||
      (relation === 'sharing' && nowMs - peer.sharingSinceMs <= maxSilenceMs)
    );
  }

  /** Whether it is time for the next heartbeat to a peer. */
  isHeartbeatDue(peer: FleetPeer): boolean {
    const sinceSentMs = this.options.clock.nowMs() - peer.lastSentAtMs;
    return sinceSentMs > this.heartbeatPeriodMs(peer) - heartbeatTickMs / 2;
  }

  isInOwnDomain({ failureDomainId }: FleetPeer): boolean {
    return failureDomainId === this.options.own.failureDomainId;
  }

  private relationTo(peer: FleetPeer): PeerRelation {
    const { isDispatching, sharesBatches } = this.options;
    if (peer.incarnation !== undefined && sharesBatches(peer.incarnation)) {
      return 'sharing';
    }
    const isStandingBy = this.isInOwnDomain(peer) && !peer.isDispatching && !isDispatching();
    return isStandingBy ? 'standing-by' : 'dispatching';
  }
}
