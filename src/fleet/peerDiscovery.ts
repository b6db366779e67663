/**
 * Discovers the daemons of the fleet through the store. One async function lists them periodically,
 * more often while no peer is reachable or a failure domain was never listed.
 */
import type { Clock } from '../ports/clock.js';
import type { FleetStore } from '../ports/fleetStore.js';
import type { Logger } from '../ports/logger.js';
import type { KnownMember } from '../types/fleet.js';
import type { TaskSupervisor } from '../utils/taskSupervisor.js';

/** Period of the listing while no peer is reachable or a failure domain was never listed, in milliseconds. */
const searchPeriodMs = 700;
/** Period of the listing otherwise, in milliseconds. */
const refreshPeriodMs = 5_000;

export interface PeerDiscoveryOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: FleetStore;
  readonly supervisor: TaskSupervisor;
  readonly failureDomainIds: readonly string[];
  readonly hasNoReachablePeer: () => boolean;
  /** Called with the listed members of one failure domain, this daemon possibly included. */
  readonly onFound: (members: readonly KnownMember[]) => void;
}

export class PeerDiscovery {
  private readonly stop = new AbortController();

  private failureDomainIds: readonly string[];
  /** Failure domains whose members the store has listed at least once. */
  private readonly listedDomains = new Set<string>();

  private constructor(private readonly options: PeerDiscoveryOptions) {
    this.failureDomainIds = options.failureDomainIds;
    void options.supervisor.keep(
      'listing the members',
      () => this.listPeriodically(),
      this.stop.signal,
    );
  }

  static create(options: PeerDiscoveryOptions): PeerDiscovery {
    return new PeerDiscovery(options);
  }

  /** Replaces the failure domains, from the next listing on. */
  setFailureDomains(failureDomainIds: readonly string[]): void {
    this.failureDomainIds = failureDomainIds;
  }

  /** Whether the members of every failure domain were listed at least once. */
  get hasListedAll(): boolean {
    return this.failureDomainIds.every((domain) => this.listedDomains.has(domain));
  }

  close(): void {
    this.stop.abort();
  }

  private async listPeriodically(): Promise<void> {
    const { clock, hasNoReachablePeer } = this.options;
    while (!this.stop.signal.aborted) {
      for (const failureDomainId of this.failureDomainIds) {
        await this.listDomain(failureDomainId);
      }
      const isSearching = hasNoReachablePeer() || !this.hasListedAll;
      await clock.sleep(isSearching ? searchPeriodMs : refreshPeriodMs, this.stop.signal);
    }
  }

  private async listDomain(failureDomainId: string): Promise<void> {
    const { logger, store, onFound } = this.options;
    const members = await store.listMembers(failureDomainId);
    if (members.isErr()) {
      logger.debug('The members cannot be listed.', { reason: members.error.detail });
      return;
    }
    this.listedDomains.add(failureDomainId);
    onFound(members.value.map(({ address }) => ({ address, failureDomainId })));
  }
}
