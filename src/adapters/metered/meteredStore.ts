/**
 * Counts the calls to the platform's store by call and outcome, and how long they take.
 */
import type { Result } from 'ts-results-es';
import type { Learned } from '../../types/learned.js';
import type { Member, ShardGrant } from '../../types/fleet.js';
import type { Clock } from '../../ports/clock.js';
import type {
  FleetStore,
  RoutingReading,
  SavedLearned,
  StoreError,
  WorkerChanges,
} from '../../ports/fleetStore.js';
import type { Metrics } from '../../ports/metrics.js';

export interface MeteredStoreOptions {
  readonly store: FleetStore;
  readonly metrics: Metrics;
  readonly clock: Clock;
}

type StoreReply<T> = Result<T, StoreError>;

export class MeteredStore implements FleetStore {
  private constructor(private readonly options: MeteredStoreOptions) {}

  static create(options: MeteredStoreOptions): MeteredStore {
    return new MeteredStore(options);
  }

  get shardCount(): number {
    return this.options.store.shardCount;
  }

  join(member: Member, generation: number): Promise<StoreReply<ShardGrant>> {
    return this.measure('join', this.options.store.join(member, generation));
  }

  leave(member: Member): Promise<StoreReply<void>> {
    return this.measure('leave', this.options.store.leave(member));
  }

  listMembers(failureDomainId: string): Promise<StoreReply<readonly Member[]>> {
    return this.measure('list_members', this.options.store.listMembers(failureDomainId));
  }

  readRouting(): Promise<StoreReply<RoutingReading>> {
    return this.measure('read_routing', this.options.store.readRouting());
  }

  async awaitRouting(
    offset: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<StoreReply<RoutingReading | undefined>> {
    // Takes as long as it is told to wait, so only its outcome is counted.
    const reply = await this.options.store.awaitRouting(offset, waitMs, signal);
    this.count('await_routing', reply);
    return reply;
  }

  listWorkers(): Promise<StoreReply<WorkerChanges>> {
    return this.measure('list_workers', this.options.store.listWorkers());
  }

  readWorkerChanges(offset: number): Promise<StoreReply<WorkerChanges | undefined>> {
    return this.measure('read_worker_changes', this.options.store.readWorkerChanges(offset));
  }

  saveLearned(member: Member, learned: Learned): Promise<StoreReply<void>> {
    return this.measure('save_learned', this.options.store.saveLearned(member, learned));
  }

  readLearned(): Promise<StoreReply<readonly SavedLearned[]>> {
    return this.measure('read_learned', this.options.store.readLearned());
  }

  close(): Promise<void> {
    return this.options.store.close();
  }

  private async measure<T>(call: string, reply: Promise<StoreReply<T>>): Promise<StoreReply<T>> {
    const { clock, metrics } = this.options;
    const sentAtMs = clock.nowMs();
    const answered = await reply;
    this.count(call, answered);
    metrics.durationMs('store_call', clock.nowMs() - sentAtMs, [`call:${call}`]);
    return answered;
  }

  private count(call: string, reply: StoreReply<unknown>): void {
    const outcome = reply.isOk() ? 'ok' : reply.error.kind;
    this.options.metrics.count('store_calls', 1, [`call:${call}`, `outcome:${outcome}`]);
  }
}
