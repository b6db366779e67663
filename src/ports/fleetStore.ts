/** Port to the platform's store: shards of workers, the routing configuration, the workers. */
import type { Result } from 'ts-results-es';
import type { Learned } from '../types/learned.js';
import type { Member, ShardGrant } from '../types/fleet.js';
import type { Routing } from '../types/routing.js';
import type { WorkerRecord } from '../types/workers.js';

export interface StoreError {
  /** `refused`: the store did nothing. `no-answer`: it may have acted, or may do so later. */
  readonly kind: 'refused' | 'no-answer';
  readonly detail: string;
}

/** What has changed among the listed workers. */
export type WorkerChange =
  | { readonly kind: 'listed'; readonly worker: WorkerRecord }
  | { readonly kind: 'removed'; readonly workerId: string }
  /** An entry that no worker can be read from. */
  | { readonly kind: 'unreadable'; readonly workerId: string; readonly reason: string };

/** Changes of the list of workers, and where to read on. */
export interface WorkerChanges {
  readonly changes: readonly WorkerChange[];
  readonly nextOffset: number;
}

/** A reading of the routing configuration, and where to wait for the next. */
export interface RoutingReading {
  /** The newest valid configuration of the reading, if there was one. */
  readonly routing: Routing | undefined;
  readonly nextOffset: number;
  /** Why records were passed over. */
  readonly faults: readonly string[];
}

/** What a daemon has saved. */
export interface SavedLearned {
  /** Address of the daemon. */
  readonly savedBy: string;
  readonly learned: Learned;
}

export interface FleetStore {
  /** Shards that the workers of each failure domain are spread over. */
  readonly shardCount: number;
  /**
   * Asks for shards of the member's failure domain, or keeps those that it has. A shard that was
   * taken from the member goes to another one as soon as the member names the generation, or a later
   * one, in which it was taken.
   *
   * @param member - this daemon
   * @param generation - the last generation whose losses the member has carried out, or 0
   */
  join(member: Member, generation: number): Promise<Result<ShardGrant, StoreError>>;
  leave(member: Member): Promise<Result<void, StoreError>>;
  /** Lists the members that hold shards of a failure domain. */
  listMembers(failureDomainId: string): Promise<Result<readonly Member[], StoreError>>;
  /** Reads the newest routing configuration. */
  readRouting(): Promise<Result<RoutingReading, StoreError>>;
  /**
   * Waits for a configuration after an offset, up to a time or until it is given up.
   *
   * @returns nothing where the store has dropped the records; read the newest instead
   */
  awaitRouting(
    offset: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<RoutingReading | undefined, StoreError>>;
  /** Lists every worker. */
  listWorkers(): Promise<Result<WorkerChanges, StoreError>>;
  /**
   * Reads what has changed since an offset.
   *
   * @returns nothing where the store has dropped the records; list all workers instead
   */
  readWorkerChanges(offset: number): Promise<Result<WorkerChanges | undefined, StoreError>>;
  /** Keeps what a daemon has learned, in place of what it saved before. */
  saveLearned(member: Member, learned: Learned): Promise<Result<void, StoreError>>;
  /** Reads what the daemons of the fleet have saved. */
  readLearned(): Promise<Result<readonly SavedLearned[], StoreError>>;
  close(): Promise<void>;
}
