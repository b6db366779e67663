/**
 * What this daemon tells the others in heartbeats, and what it takes from theirs.
 */
import type { BatchRouter } from '../bestEffort/batchRouter.js';
import type { FleetView } from '../bestEffort/fleetView.js';
import type { RunTimePredictor } from '../bestEffort/runLengths.js';
import type { Dispatcher } from '../dispatch/dispatcher.js';
import type { Logger } from '../ports/logger.js';
import type { RoutingStore } from '../routing/routingStore.js';
import type { FleetHeartbeat, Member } from '../types/fleet.js';
import type { SpeedMemory } from '../workers/speedMemory.js';
import type { FleetPeers } from './fleetPeers.js';

/** Batches that are younger may have been sent after the heartbeat that does not name them. */
const minUnaskedAgeMs = 600;
const routingFetchTimeoutMs = 500;

export interface FleetExchangeOptions {
  readonly own: Member;
  readonly logger: Logger;
  readonly routing: RoutingStore;
  readonly lengths: RunTimePredictor;
  readonly speeds: SpeedMemory;
  readonly view: FleetView;
  readonly router: BatchRouter;
  readonly dispatcher: Dispatcher;
  readonly peers: () => FleetPeers;
}

export class FleetExchange {
  private isLeaving = false;
  private isFetchingRouting = false;

  private constructor(private readonly options: FleetExchangeOptions) {}

  static create(options: FleetExchangeOptions): FleetExchange {
    return new FleetExchange(options);
  }

  /** Tells the others from now on that this daemon leaves. */
  leave(): void {
    this.isLeaving = true;
  }

  /**
   * Composes a heartbeat.
   *
   * @param peer - incarnation of the daemon that gets it, if it is known
   * @param isFull - whether it tells what was learned, and who is heard
   */
  compose(peer: string | undefined, isFull: boolean): FleetHeartbeat {
    const { own, dispatcher, lengths, peers, router, routing, speeds } = this.options;
    const load = dispatcher.load();
    load.workers.forEach((worker) => speeds.note(worker));
    const isNear = peer !== undefined && this.isNear(peers().find(peer)?.heartbeat?.member);
    return {
      member: own,
      routingVersion: routing.version,
      isLeaving: this.isLeaving,
      load,
      askedBatchIds: router.requestedBatchIds(peer),
      ...(isFull ? { lengths: lengths.share(), heardMembers: peers().heardMembers() } : {}),
      ...(isFull && isNear ? { speeds: speeds.list() } : {}),
    };
  }

  /** Takes a heartbeat of another daemon. */
  hear(heartbeat: FleetHeartbeat): void {
    const { dispatcher, routing, speeds, view } = this.options;
    const { member, load, askedBatchIds, routingVersion, lengths } = heartbeat;
    const { incarnation } = member;
    view.recordLoad(incarnation, load, this.isNear(member) ? 'near' : 'far');
    load.workers.forEach((worker) => speeds.note(worker));
    heartbeat.speeds?.forEach((speed) => speeds.noteRemembered(speed));
    if (lengths !== undefined) {
      this.options.lengths.recordPeerSums(incarnation, lengths);
    }
    const asked = new Set(askedBatchIds);
    dispatcher.withdrawUnasked(incarnation, (id) => asked.has(id), minUnaskedAgeMs);
    if (routingVersion > routing.version) {
      void this.fetchRoutingFrom(incarnation);
    }
  }

  /** Forgets a process that is gone: its word, what was asked of it, and what it asked for. */
  noteLost(incarnation: string): void {
    const { dispatcher, router, view } = this.options;
    view.forget(incarnation);
    router.failBatchesAt(incarnation);
    dispatcher.withdrawAll(incarnation);
  }

  /** Tells whether batches of one of the two daemons are with the other. */
  isBound(incarnation: string): boolean {
    const { dispatcher, router } = this.options;
    return router.hasBatchesAt(incarnation) || dispatcher.askers().includes(incarnation);
  }

  private isNear(member: Member | undefined): boolean {
    return member?.failureDomainId === this.options.own.failureDomainId;
  }

  /** Takes a newer routing configuration from a daemon that has it, without the store. */
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
      logger.debug('A routing configuration did not come.', {
        nodeId: incarnation,
        reason: reply.error.detail,
      });
      return;
    }
    if (reply.value !== null && routing.apply(reply.value)) {
      const { version } = reply.value;
      logger.info('A routing configuration came from a daemon.', { version, nodeId: incarnation });
    }
  }
}
