/**
 * With which peers this daemon keeps contact, and when it sends one of them a heartbeat.
 */
import { longestPauseMs } from '../utils/periodicSleep.js';
import { chooseContacts } from './contacts.js';
import type { FleetPeer } from './fleetPeer.js';
import type { PeerRelations, PeerRelationsOptions } from './peerRelations.js';

/**
 * A peer in another failure domain that sent a heartbeat within this many periods is not sent one. The two sides differ:
 * after heartbeats that both sent at once, both would otherwise pause for so long that their loads expire.
 */
const recentInboundPeriods = { lowerAddress: 0.75, higherAddress: 1.5 } as const;

export class HeartbeatDuty {
  /** Addresses of the chosen contacts in other failure domains. */
  private contacts: ReadonlySet<string> = new Set();

  private constructor(
    private readonly options: PeerRelationsOptions,
    private readonly relations: PeerRelations,
  ) {}

  static create(options: PeerRelationsOptions, relations: PeerRelations): HeartbeatDuty {
    return new HeartbeatDuty(options, relations);
  }

  /** Chooses the contacts among the peers in other failure domains. */
  refreshContacts(peers: readonly FleetPeer[]): void {
    const remote = peers.filter((peer) => !this.relations.isInOwnDomain(peer));
    this.contacts = chooseContacts(
      remote.map((peer) => ({
        ...peer.known,
        rank: peer.contactRank,
        isReachable: this.relations.isReachable(peer),
        unansweredHeartbeats: peer.unansweredHeartbeats,
      })),
    );
  }

  /** Whether a peer is a chosen contact in another failure domain. */
  isContact({ address }: FleetPeer): boolean {
    return this.contacts.has(address);
  }

  /**
   * Within a domain the lower address sends, and the other one, too, once that is late; across domains, either side that
   * keeps contact, the lower address first. News is sent by either side at once.
   */
  mustSend(peer: FleetPeer): boolean {
    const { clock, own } = this.options;
    if (peer.isDisputed) {
      return true;
    }
    if (!this.keepsContact(peer)) {
      return false;
    }
    if (!this.relations.isReachable(peer) || peer.hasNews) {
      return true;
    }
    if (!this.relations.isHeartbeatDue(peer)) {
      return false;
    }
    const sinceInboundMs = clock.nowMs() - peer.lastInboundHeartbeatAtMs;
    const periodMs = this.relations.heartbeatPeriodMs(peer);
    const side = own.address < peer.address ? 'lowerAddress' : 'higherAddress';
    return this.relations.isInOwnDomain(peer)
      ? side === 'lowerAddress' || sinceInboundMs > longestPauseMs(periodMs)
      : sinceInboundMs > recentInboundPeriods[side] * periodMs;
  }

  /** Whether heartbeats with a peer are needed: same domain, chosen contact, or shared batches. */
  keepsContact(peer: FleetPeer): boolean {
    const { incarnation } = peer;
    return (
      this.relations.isInOwnDomain(peer) ||
      this.isContact(peer) ||
      (incarnation !== undefined && this.options.sharesBatches(incarnation))
    );
  }
}
