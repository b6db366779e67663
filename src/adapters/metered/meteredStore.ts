/**
 * Decorator of the store port that records the number and duration of calls by call and outcome.
 */
import type { Result } from 'ts-results-es';
import type { Learned } from '../../types/learned.js';
import type { Member, ShardGrant } from '../../types/fleet.js';
import type { Clock } from '../../ports/clock.js';
import type {
  FleetStore,
  RoutingReadResult,
  SavedLearned,
  StoreError,
  WorkerChanges,
} from '../../ports/fleetStore.js';
import type { Metrics } from '../../ports/metrics.js';
import { CallMeter } from './callMeter.js';

export interface MeteredStoreOptions {
  readonly store: FleetStore;
  readonly metrics: Metrics;
  readonly clock: Clock;
}

type StoreReply<T> = Result<T, StoreError>;

export class MeteredStore implements FleetStore {
  private readonly meter: CallMeter<StoreReply<unknown>>;

  private constructor(private readonly options: MeteredStoreOptions) {
    this.meter = CallMeter.create({ ...options, callee: 'store' }, outcomeOf);
  }

  static create(options: MeteredStoreOptions): MeteredStore {
    return new MeteredStore(options);
  }

  get shardCount(): number {
    return this.options.store.shardCount;
  }

  join(member: Member, generation: number): Promise<StoreReply<ShardGrant>> {
    return this.meter.measure('join', this.options.store.join(member, generation));
  }

  leave(member: Member): Promise<StoreReply<void>> {
    return this.meter.measure('leave', this.options.store.leave(member));
  }

  listMembers(failureDomainId: string): Promise<StoreReply<readonly Member[]>> {
    return this.meter.measure('list_members', this.options.store.listMembers(failureDomainId));
  }

  readRouting(): Promise<StoreReply<RoutingReadResult>> {
    return this.meter.measure('read_routing', this.options.store.readRouting());
  }

  awaitRouting(
    offset: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<StoreReply<RoutingReadResult | undefined>> {
    return this.meter.count(
      'await_routing',
      this.options.store.awaitRouting(offset, waitMs, signal),
    );
  }

  listWorkers(): Promise<StoreReply<WorkerChanges>> {
    return this.meter.measure('list_workers', this.options.store.listWorkers());
  }

  readWorkerChanges(offset: number): Promise<StoreReply<WorkerChanges | undefined>> {
    return this.meter.measure('read_worker_changes', this.options.store.readWorkerChanges(offset));
  }

  saveLearned(member: Member, learned: Learned): Promise<StoreReply<void>> {
    return this.meter.measure('save_learned', this.options.store.saveLearned(member, learned));
  }

  readLearned(): Promise<StoreReply<readonly SavedLearned[]>> {
    return this.meter.measure('read_learned', this.options.store.readLearned());
  }

  close(): Promise<void> {
    return this.options.store.close();
  }
}

const outcomeOf = (reply: StoreReply<unknown>): string => (reply.isOk() ? 'ok' : reply.error.kind);
