/**
 * The content of heartbeats: composes those of this daemon and applies those of the other ones.
 */
import type { BatchRouter } from '../bestEffort/batchRouter.js';
import type { FleetView } from '../bestEffort/fleetView.js';
import type { RunningJobs } from '../bestEffort/runningJobs.js';
import type { RunTimePredictor } from '../bestEffort/runTimePredictor.js';
import { announcementMs } from '../dispatch/crashSuspects.js';
import type { Audience } from '../dispatch/crashSuspects.js';
import type { Dispatcher } from '../dispatch/dispatcher.js';
import { unreachable } from '../errors/unreachable.js';
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { RoutingStore } from '../routing/routingStore.js';
import type { FleetHeartbeat, Member } from '../types/fleet.js';
import type { WorkerSpeedCache } from '../workers/workerSpeedCache.js';
import type { CallerContact } from './callerContact.js';
import type { FleetPeers, PeerLoss } from './fleetPeers.js';
import type { HeldJobs } from './heldJobs.js';
import { HeldStatements } from './heldStatements.js';
import type { MessageAges } from './messageAges.js';
import { NewContacts } from './newContacts.js';
import type { RequesterLeases } from './requesterLeases.js';
import { maxSharingSilenceMs } from './requesterTimes.js';

/**
 * Age up to which a batch that the requester's heartbeat does not list is kept, in milliseconds: it
 * may have been sent after the heartbeat was composed.
 */
const minUnrequestedAgeMs = 600;
const routingFetchTimeoutMs = 500;

export interface FleetHeartbeatExchangeOptions {
  readonly clock: Clock;
  readonly ages: MessageAges;
  readonly contact: CallerContact;
  readonly leases: RequesterLeases;
  readonly own: Member;
  readonly logger: Logger;
  readonly routing: RoutingStore;
  readonly lengths: RunTimePredictor;
  readonly speeds: WorkerSpeedCache;
  readonly view: FleetView;
  readonly router: BatchRouter;
  readonly dispatcher: Dispatcher;
  readonly jobs: Pick<RunningJobs, 'listHeld' | 'listCancelled' | 'recordCancelled'>;
  readonly held: HeldJobs;
  /** Time from the last word of a requester by which none of its runs goes on, in milliseconds. */
  readonly confirmationMs: number;
  /** Returns the workers that this daemon waits for; left out where it asks for none before it takes them over. */
  readonly listAwaited?: () => string[];
  /** Returns the peers; a function, since they are created after this object. */
  readonly peers: () => FleetPeers;
}

export class FleetHeartbeatExchange {
  private isLeaving = false;
  private isFetchingRouting = false;
  /** Processes that are told of all suspects, since they have not heard what was announced before. */
  private readonly newContacts: NewContacts;
  private readonly statements: HeldStatements;

  private constructor(private readonly options: FleetHeartbeatExchangeOptions) {
    const { clock, held, jobs, own } = options;
    this.newContacts = NewContacts.create(clock, announcementMs);
    const listHeld = () => jobs.listHeld();
    this.statements = HeldStatements.create({ clock, ownId: own.incarnation, listHeld, held });
  }

  static create(options: FleetHeartbeatExchangeOptions): FleetHeartbeatExchange {
    return new FleetHeartbeatExchange(options);
  }

  /** Marks this daemon as leaving in all heartbeats from now on. */
  leave(): void {
    this.isLeaving = true;
  }

  /**
   * Composes a heartbeat.
   *
   * @param peer - incarnation of the receiving process, if it is known
   * @param isFull - whether to add the learned run times, the reachable members and, for a peer in
   *   the same failure domain, the slowdown factors of workers
   */
  composeHeartbeat(peer: string | undefined, isFull: boolean): FleetHeartbeat {
    const { ages, contact, own, dispatcher, jobs, lengths, peers, router, routing, speeds } =
      this.options;
    const { listAwaited } = this.options;
    const load = dispatcher.load();
    load.workers.forEach((worker) => speeds.record(worker));
    const { heldUpMs } = contact;
    const roundTripMs = peer === undefined ? undefined : ages.shortestRoundTripMs(peer);
    const isSameDomain =
      peer !== undefined && this.isInOwnDomain(peers().find(peer)?.heartbeat?.member);
    const audience = this.audienceOf(peer, isSameDomain);
    const suspects = dispatcher.suspects.listAnnounced(audience);
    const doubts = dispatcher.doubts.listAnnounced(audience);
    const listener = peer !== undefined && this.newContacts.has(peer) ? peer : undefined;
    const heldJobs = this.statements.compose(listener, isSameDomain);
    const cancelledJobs = audience === 'newcomer' ? jobs.listCancelled() : [];
    return {
      member: own,
      sentAtMs: ages.timestampMs(),
      routingVersion: routing.version,
      isLeaving: this.isLeaving,
      load,
      askedBatchIds: router.requestedBatchIds(peer),
      ...(heldUpMs > 0 ? { heldUpMs } : {}),
      ...(roundTripMs === undefined ? {} : { roundTripMs }),
      ...(suspects.length > 0 ? { suspects } : {}),
      ...(doubts.length > 0 ? { doubts } : {}),
      ...(heldJobs.length > 0 ? { heldJobs } : {}),
      ...(cancelledJobs.length > 0 ? { cancelledJobs } : {}),
      ...(listAwaited === undefined ? {} : { awaitedWorkerIds: listAwaited() }),
      ...(isFull ? { lengths: lengths.share(), heardMembers: peers().heardMembers() } : {}),
      ...(isFull && isSameDomain ? { speeds: speeds.list() } : {}),
    };
  }

  /**
   * Applies a heartbeat of another daemon: its load, what it has learned, and the list of batches
   * that it still requests. Fetches its routing configuration if that is newer.
   */
  handleHeartbeat(heartbeat: FleetHeartbeat): void {
    const { ages, dispatcher, leases, routing, speeds, view } = this.options;
    const { member, sentAtMs, load, askedBatchIds, routingVersion, lengths } = heartbeat;
    const { heldUpMs = 0, roundTripMs } = heartbeat;
    const { incarnation } = member;
    const ageMs = sentAtMs === undefined ? 0 : ages.recordHeartbeat(incarnation, sentAtMs);
    const delayMs = sentAtMs === undefined ? undefined : ages.delayMs(incarnation, sentAtMs);
    if (roundTripMs !== undefined) {
      ages.recordRoundTrip(incarnation, roundTripMs);
    }
    if (delayMs !== undefined) {
      this.options.contact.recordMessageDelay(delayMs);
    }
    leases.recordMessage(incarnation, sentAtMs);
    this.newContacts.record(incarnation);
    const isSameDomain = this.isInOwnDomain(member);
    view.recordLoad(incarnation, load, isSameDomain ? 'near' : 'far', ageMs);
    load.workers.forEach((worker) => speeds.record(worker));
    const source = isSameDomain ? 'own-domain' : 'other-domain';
    if (heartbeat.suspects !== undefined) {
      dispatcher.recordSuspects(heartbeat.suspects, source);
    }
    heartbeat.doubts?.forEach((doubt) => dispatcher.doubts.recordAnnounced(doubt, source));
    const groups = heartbeat.heldJobs ?? [];
    this.options.held.record({ sender: incarnation, source, groups, ageMs });
    heartbeat.cancelledJobs?.forEach((job) => this.options.jobs.recordCancelled(job));
    heartbeat.speeds?.forEach((speed) => speeds.recordIfAbsent(speed));
    if (lengths !== undefined) {
      this.options.lengths.recordPeerSums(incarnation, lengths);
    }
    const requested = new Set(askedBatchIds);
    const highestAgeMs = sentAtMs === undefined ? 0 : ages.highestAgeMs(incarnation, sentAtMs);
    dispatcher.confirm(incarnation, (id) => requested.has(id), highestAgeMs + heldUpMs);
    const minAgeMs = minUnrequestedAgeMs + ageMs;
    dispatcher.withdrawUnrequested(incarnation, (id) => requested.has(id), minAgeMs);
    if (routingVersion > routing.version) {
      void this.fetchRoutingFrom(incarnation);
    }
  }

  /**
   * Handles the loss of a process: drops its load and fails the batches there. Its own batches here are
   * withdrawn at once if it is certainly gone, and otherwise when its lease is over.
   */
  handleLostDaemon(incarnation: string, loss: PeerLoss): void {
    const { clock, confirmationMs, dispatcher, held, leases, router, view } = this.options;
    view.forget(incarnation);
    this.newContacts.forget(incarnation);
    this.statements.forget(incarnation);
    switch (loss) {
      case 'silent':
        router.failBatchesAt(incarnation, maxSharingSilenceMs);
        return;
      case 'replaced':
        router.failBatchesAt(incarnation, 0);
        leases.end(incarnation);
        held.recordGone(incarnation, clock.nowMs() + confirmationMs);
        dispatcher.withdrawAll(incarnation);
        return;
      default:
        return unreachable(loss);
    }
  }

  /** Handles a heartbeat that a process did not answer in time: it may be slow or gone, and may have heard nothing. */
  handleUnanswered(incarnation: string): void {
    this.options.view.forget(incarnation);
    this.statements.forget(incarnation);
  }

  /** Whether this daemon has batches at another process, or the other way round. */
  sharesBatchesWith(incarnation: string): boolean {
    const { dispatcher, router } = this.options;
    return router.hasBatchesAt(incarnation) || dispatcher.hasBatchesOf(incarnation);
  }

  private audienceOf(peer: string | undefined, isSameDomain: boolean): Audience {
    if (this.newContacts.isNew(peer)) {
      return 'newcomer';
    }
    return isSameDomain ? 'own-domain' : 'other-domain';
  }

  private isInOwnDomain(member: Member | undefined): boolean {
    return member?.failureDomainId === this.options.own.failureDomainId;
  }

  /** Fetches a newer routing configuration from a peer, which works without the store. */
  private async fetchRoutingFrom(incarnation: string): Promise<void> {
    const { logger, peers, routing } = this.options;
    const peer = peers().find(incarnation);
    if (this.isFetchingRouting || peer === undefined) {
      return;
    }
    this.isFetchingRouting = true;
    const reply = await peer.link.fetchRouting(routingFetchTimeoutMs);
    this.isFetchingRouting = false;
    if (reply.isErr()) {
      logger.debug('A routing configuration could not be fetched from a daemon.', {
        nodeId: incarnation,
        reason: reply.error.detail,
      });
      return;
    }
    if (reply.value !== null && routing.apply(reply.value)) {
      const { version } = reply.value;
      logger.info('A routing configuration was fetched from a daemon.', {
        version,
        nodeId: incarnation,
      });
    }
  }
}
