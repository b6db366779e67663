/**
 * What heartbeats state of the free capacity of failure domains: composes the entries for daemons of other domains, and
 * records those that come from them. Within a domain nothing is stated, since each daemon there has contacts of its own
 * in every other domain and all load reports of its own one.
 */
import type { FleetView } from '../bestEffort/fleetView.js';
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { Metrics } from '../ports/metrics.js';
import type { RoutingStore } from '../routing/routingStore.js';
import type { DomainRoom } from '../types/domainRooms.js';
import type { FleetHeartbeat, Member } from '../types/fleet.js';
import { isInvalidField } from '../types/tolerant.js';
import { toDomainRoom } from './domainRooms.js';

/** Time for which the sums of the own domain are stated again, in milliseconds; heartbeats leave at shared times. */
const maxReuseMs = 20;
/** Shortest time between two log lines on fields that are ignored, in milliseconds. */
const ignoredLogPeriodMs = 10_000;

export interface RoomStatementsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly own: Member;
  readonly routing: RoutingStore;
  readonly view: FleetView;
}

/** The sums of the own failure domain, and when they were computed. */
interface OwnRooms {
  readonly rooms: readonly DomainRoom[];
  readonly atMs: number;
}

export class RoomStatements {
  private ownRooms: OwnRooms | undefined;
  private knownDomains: ReadonlySet<string> = new Set();
  private services: { readonly version: number; readonly ids: ReadonlySet<string> } | undefined;
  private lastIgnoredLogAtMs = -Infinity;

  private constructor(private readonly options: RoomStatementsOptions) {}

  static create(options: RoomStatementsOptions): RoomStatements {
    return new RoomStatements(options);
  }

  /**
   * Composes the entries of a heartbeat: those of the own failure domain and those heard of, except of the receiver's.
   *
   * @param receiver - the receiving daemon, if it is known
   */
  compose(receiver: Member | undefined): DomainRoom[] {
    const { own, view } = this.options;
    this.watchDomains();
    if (receiver === undefined || receiver.failureDomainId === own.failureDomainId) {
      return [];
    }
    const heard = view.rooms
      .list()
      .filter(({ failureDomainId }) => failureDomainId !== receiver.failureDomainId);
    return [...this.sumOwnRooms(), ...heard];
  }

  /**
   * Records the entries of a heartbeat, and logs the new fields of it that are not valid.
   *
   * @param heartbeat - a heartbeat of another daemon
   * @param ageMs - its age, in milliseconds
   */
  receive({ member, load, domainRooms }: FleetHeartbeat, ageMs: number): void {
    const { own, view } = this.options;
    let ignoredRooms = 0;
    if (isInvalidField(domainRooms)) {
      ignoredRooms = 1;
    } else if (domainRooms !== undefined) {
      ignoredRooms = view.rooms.record({
        ...{ entries: domainRooms, ageMs, ownDomainId: own.failureDomainId },
        isKnownService: (serviceId) => this.knownServices().has(serviceId),
      });
    }
    this.reportIgnored(member.incarnation, {
      domainRooms: ignoredRooms,
      'load.waiting': isInvalidField(load.waiting) ? 1 : 0,
    });
    this.watchDomains();
  }

  /** Counts fields of a message that are ignored, and logs them once in a while. */
  reportIgnored(nodeId: string, counts: Readonly<Record<string, number>>): void {
    const { clock, logger, metrics } = this.options;
    const ignored = Object.entries(counts).filter(([, count]) => count > 0);
    ignored.forEach(([field, count]) =>
      metrics.count('message_fields_ignored', count, [`field:${field}`]),
    );
    const nowMs = clock.nowMs();
    if (ignored.length === 0 || nowMs - this.lastIgnoredLogAtMs < ignoredLogPeriodMs) {
      return;
    }
    this.lastIgnoredLogAtMs = nowMs;
    const fields = ignored.map(([field]) => field).join(' ');
    const count = ignored.reduce((sum, [, one]) => sum + one, 0);
    logger.warn(
      'Fields of a message are ignored, since they are not valid or of a service unknown here.',
      {
        ...{ nodeId, fields, count },
      },
    );
  }

  private sumOwnRooms(): readonly DomainRoom[] {
    const { clock, metrics, own, view } = this.options;
    const nowMs = clock.nowMs();
    if (this.ownRooms === undefined || nowMs - this.ownRooms.atMs > maxReuseMs) {
      const rooms = [...this.knownServices()]
        .map((serviceId) =>
          toDomainRoom(own.failureDomainId, serviceId, view.serviceLoad(serviceId)),
        )
        .filter(({ capacityCpuMillis, waitingCoreMs }) => capacityCpuMillis + waitingCoreMs > 0);
      rooms.forEach(({ serviceId, freeCpuMillis }) =>
        metrics.gauge('domain_free_cores', freeCpuMillis / 1_000, [`service:${serviceId}`]),
      );
      this.ownRooms = { rooms, atMs: nowMs };
    }
    const ageMs = Math.round(nowMs - this.ownRooms.atMs);
    return this.ownRooms.rooms.map((room) => ({ ...room, ageMs }));
  }

  private knownServices(): ReadonlySet<string> {
    const { routing } = this.options;
    const { version } = routing;
    if (this.services?.version !== version) {
      const services = routing.current?.routing.services ?? [];
      this.services = { version, ids: new Set(services.map(({ serviceId }) => serviceId)) };
    }
    return this.services.ids;
  }

  /** Logs for which other failure domains entries have come or have expired. */
  private watchDomains(): void {
    const { logger, metrics, view } = this.options;
    const domains = new Set(view.rooms.list().map(({ failureDomainId }) => failureDomainId));
    for (const failureDomainId of domains) {
      if (!this.knownDomains.has(failureDomainId)) {
        logger.info('The free capacity of a failure domain is known.', { failureDomainId });
      }
    }
    for (const failureDomainId of this.knownDomains) {
      if (!domains.has(failureDomainId)) {
        logger.info('The free capacity of a failure domain is no longer known.', {
          failureDomainId,
        });
      }
    }
    metrics.gauge('domains_with_known_room', domains.size);
    this.knownDomains = domains;
  }
}
