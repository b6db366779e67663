/**
 * Port to the platform's store: it assigns the shards of workers to the daemons, and holds the routing
 * configuration, the list of workers and what the daemons have learned.
 */
import type { Result } from 'ts-results-es';
import type { Learned } from '../types/learned.js';
import type { Member, ShardGrant } from '../types/fleet.js';
import type { Routing } from '../types/routing.js';
import type { WorkerRecord } from '../types/workers.js';

export interface StoreError {
  /** `refused`: the store did nothing. `no-answer`: it may have acted, or may still act. */
  readonly kind: 'refused' | 'no-answer';
  readonly detail: string;
}

/** One change of the list of workers. */
export type WorkerChange =
  | { readonly kind: 'listed'; readonly worker: WorkerRecord }
  | { readonly kind: 'removed'; readonly workerId: string }
  /** The entry of the worker is not valid. */
  | { readonly kind: 'unreadable'; readonly workerId: string; readonly reason: string };

/** Changes of the list of workers. */
export interface WorkerChanges {
  readonly changes: readonly WorkerChange[];
  /** Offset to read the following changes from. */
  readonly nextOffset: number;
}

/** The result of one read of the routing configuration. */
export interface RoutingReadResult {
  /** The newest valid configuration among the records that were read, if there is one. */
  readonly routing: Routing | undefined;
  /** Offset to wait for the following configuration at. */
  readonly nextOffset: number;
  /** Reasons for which records were skipped. */
  readonly faults: readonly string[];
}

/** What one daemon has learned and saved. */
export interface SavedLearned {
  /** Address of the daemon. */
  readonly savedBy: string;
  readonly learned: Learned;
}

export interface FleetStore {
  /** Number of shards into which the workers of each failure domain are divided. */
  readonly shardCount: number;
  /**
   * Joins the members that share the shards of a failure domain, or renews the membership. A shard
   * that the store takes from a member is assigned to another one as soon as the member confirms the
   * generation of that change or a later one.
   *
   * @param member - this daemon
   * @param generation - the last generation that the member confirms, or 0; it has released the workers
   *   of all shards that it lost up to then
   * @returns the shards that the member holds now
   */
  join(member: Member, generation: number): Promise<Result<ShardGrant, StoreError>>;
  /** Ends the membership and gives up all shards. */
  leave(member: Member): Promise<Result<void, StoreError>>;
  /** Lists the members that hold shards of a failure domain. */
  listMembers(failureDomainId: string): Promise<Result<readonly Member[], StoreError>>;
  /** Reads the newest routing configuration. */
  readRouting(): Promise<Result<RoutingReadResult, StoreError>>;
  /**
   * Waits for records of the routing configuration from an offset on.
   *
   * @param offset - `nextOffset` of the read before
   * @param waitMs - longest wait in milliseconds
   * @param signal - cancels the wait
   * @returns nothing if no record can be read there, such as where the store has dropped records after the
   *   offset; call `readRouting` then
   */
  awaitRouting(
    offset: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<RoutingReadResult | undefined, StoreError>>;
  /** Lists every worker. */
  listWorkers(): Promise<Result<WorkerChanges, StoreError>>;
  /**
   * Reads the changes of the list of workers since an offset.
   *
   * @param offset - `nextOffset` of the read before
   * @returns nothing if no change can be read there, such as where the store has dropped changes after the
   *   offset; call `listWorkers` then
   */
  readWorkerChanges(offset: number): Promise<Result<WorkerChanges | undefined, StoreError>>;
  /** Saves what a daemon has learned, and replaces what it saved before. */
  saveLearned(member: Member, learned: Learned): Promise<Result<void, StoreError>>;
  /** Reads what all daemons of the fleet have saved. */
  readLearned(): Promise<Result<readonly SavedLearned[], StoreError>>;
  close(): Promise<void>;
}
