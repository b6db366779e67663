/**
 * Follows the routing configuration in the store: one async function reads it and waits for the next.
 */
import type { Clock } from '../ports/clock.js';
import type { FleetStore, RoutingReading } from '../ports/fleetStore.js';
import type { Logger } from '../ports/logger.js';
import { Dependency } from '../utils/dependency.js';
import type { RoutingStore } from './routingStore.js';

/** A waiting read ends after this long, so that a connection that went silent is noticed. */
const waitMs = 2_500;
const retryPauseMs = 400;

export interface RoutingFollowerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: FleetStore;
  readonly routing: RoutingStore;
}

export class RoutingFollower {
  private readonly stop = new AbortController();
  private readonly logger: Logger;
  private readonly dependency: Dependency;
  private nextOffset: number | undefined;
  /** Ends the wait for the next record. */
  private wait = new AbortController();
  private readonly following: Promise<void>;

  private constructor(private readonly options: RoutingFollowerOptions) {
    this.logger = options.logger.forPart('routing');
    this.dependency = Dependency.create('routing records in the store', this.logger, options.clock);
    this.following = this.follow();
  }

  static create(options: RoutingFollowerOptions): RoutingFollower {
    return new RoutingFollower(options);
  }

  /** Reads at once; for when the store is back, which a wait on an old connection does not see. */
  refresh(): void {
    this.wait.abort();
  }

  async close(): Promise<void> {
    this.stop.abort();
    this.wait.abort();
    await this.following;
  }

  private async follow(): Promise<void> {
    const { clock } = this.options;
    while (!this.stop.signal.aborted) {
      this.wait = new AbortController();
      const isRead = await this.readOnce();
      if (!isRead && !this.wait.signal.aborted) {
        await clock.sleep(retryPauseMs, this.stop.signal);
      }
    }
  }

  private async readOnce(): Promise<boolean> {
    const { store } = this.options;
    const reading =
      this.nextOffset === undefined
        ? await store.readRouting()
        : await store.awaitRouting(this.nextOffset, waitMs, this.wait.signal);
    if (reading.isErr()) {
      if (!this.wait.signal.aborted) {
        this.dependency.noteLost(reading.error.detail);
      }
      return false;
    }
    this.dependency.noteReached();
    this.nextOffset = reading.value?.nextOffset;
    if (reading.value !== undefined) {
      this.apply(reading.value);
    }
    return true;
  }

  private apply({ routing, faults }: RoutingReading): void {
    for (const reason of faults) {
      this.logger.warn('A routing record was passed over.', { reason });
    }
    if (routing !== undefined && this.options.routing.apply(routing)) {
      this.logger.info('A routing configuration is in force.', { version: routing.version });
    }
  }
}
