/**
 * Applies the routing configurations from the store: one async function reads the newest one, then
 * waits for the next ones with long polls.
 */
import type { Clock } from '../ports/clock.js';
import type { FleetStore, RoutingReadResult } from '../ports/fleetStore.js';
import type { Logger } from '../ports/logger.js';
import { DependencyMonitor } from '../utils/dependencyMonitor.js';
import type { TaskSupervisor } from '../utils/taskSupervisor.js';
import type { RoutingStore } from './routingStore.js';

/** Longest wait of one long poll, so that a dead connection is noticed. */
const longPollMs = 2_500;
const retryDelayMs = 400;

export interface RoutingFollowerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: FleetStore;
  readonly routing: RoutingStore;
  readonly supervisor: TaskSupervisor;
}

export class RoutingFollower {
  private readonly stop = new AbortController();
  private readonly logger: Logger;
  private readonly dependency: DependencyMonitor;
  /** Where to wait for the next record; undefined if the newest configuration is to be read. */
  private nextOffset: number | undefined;
  /** Ends the current long poll, and marks that its end is no fault of the store. */
  private waitAbort = new AbortController();
  private readonly watching: Promise<void>;

  private constructor(private readonly options: RoutingFollowerOptions) {
    this.logger = options.logger.forPart('routing');
    this.dependency = DependencyMonitor.create(
      'routing records in the store',
      this.logger,
      options.clock,
    );
    this.watching = options.supervisor.keep(
      'following the routing configuration',
      () => this.watch(),
      this.stop.signal,
    );
  }

  static create(options: RoutingFollowerOptions): RoutingFollower {
    return new RoutingFollower(options);
  }

  /**
   * Ends the current long poll and starts another at once. To be called when the store is back,
   * which a long poll on an old connection does not notice.
   */
  refresh(): void {
    this.waitAbort.abort();
  }

  async close(): Promise<void> {
    this.stop.abort();
    this.waitAbort.abort();
    await this.watching;
  }

  private async watch(): Promise<void> {
    const { clock } = this.options;
    while (!this.stop.signal.aborted) {
      this.waitAbort = new AbortController();
      const isRead = await this.readNext();
      if (!isRead && !this.waitAbort.signal.aborted) {
        await clock.sleep(retryDelayMs, this.stop.signal);
      }
    }
  }

  /** @returns whether records were read or none came, so that the next read may follow at once */
  private async readNext(): Promise<boolean> {
    const { store } = this.options;
    const reading =
      this.nextOffset === undefined
        ? await store.readRouting()
        : await store.awaitRouting(this.nextOffset, longPollMs, this.waitAbort.signal);
    if (reading.isErr()) {
      if (!this.waitAbort.signal.aborted) {
        this.dependency.recordFailure(reading.error.detail);
      }
      return false;
    }
    this.dependency.recordSuccess();
    this.nextOffset = reading.value?.nextOffset;
    if (reading.value === undefined) {
      return false;
    }
    this.apply(reading.value);
    return true;
  }

  private apply({ routing, faults }: RoutingReadResult): void {
    for (const reason of faults) {
      this.logger.warn('A routing record is not valid and is skipped.', { reason });
    }
    if (routing !== undefined && this.options.routing.apply(routing)) {
      this.logger.info('A routing configuration is in force.', { version: routing.version });
    }
  }
}
