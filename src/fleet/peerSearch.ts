/**
 * Asks the store for the daemons of the fleet: one async function, often until peers are heard.
 */
import type { Clock } from '../ports/clock.js';
import type { FleetStore } from '../ports/fleetStore.js';
import type { Logger } from '../ports/logger.js';
import type { KnownMember } from '../types/fleet.js';

/** The store is asked this often until peers are heard, and then seldom. */
const searchPeriodMs = 700;
const refreshPeriodMs = 5_000;

export interface PeerSearchOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: FleetStore;
  readonly failureDomainIds: readonly string[];
  /** Tells whether no peer is heard. */
  readonly isAlone: () => boolean;
  readonly onFound: (members: readonly KnownMember[]) => void;
}

export class PeerSearch {
  private readonly stop = new AbortController();

  private constructor(private readonly options: PeerSearchOptions) {
    void this.search();
  }

  static create(options: PeerSearchOptions): PeerSearch {
    return new PeerSearch(options);
  }

  close(): void {
    this.stop.abort();
  }

  private async search(): Promise<void> {
    const { clock, failureDomainIds, isAlone } = this.options;
    while (!this.stop.signal.aborted) {
      for (const failureDomainId of failureDomainIds) {
        await this.listDomain(failureDomainId);
      }
      await clock.sleep(isAlone() ? searchPeriodMs : refreshPeriodMs, this.stop.signal);
    }
  }

  private async listDomain(failureDomainId: string): Promise<void> {
    const { logger, store, onFound } = this.options;
    const members = await store.listMembers(failureDomainId);
    if (members.isErr()) {
      logger.debug('The members cannot be listed.', { reason: members.error.detail });
      return;
    }
    onFound(members.value.map(({ address }) => ({ address, failureDomainId })));
  }
}
