/**
 * The workers to which this daemon dispatches: those of its failure domain in the shards that the store has
 * granted to it, until it leaves.
 */
import type { Dispatcher } from '../dispatch/dispatcher.js';
import type { ShardGrant } from '../types/fleet.js';
import type { WorkerDirectory } from '../workers/workerDirectory.js';
import { workersOfShards } from './shardMembership.js';

export interface ServedWorkersOptions {
  /** Failure domain of this daemon. */
  readonly failureDomainId: string;
  /** Number of shards of the failure domain. */
  readonly shardCount: number;
  readonly directory: WorkerDirectory;
  readonly dispatcher: Dispatcher;
}

export class ServedWorkers {
  private grant: ShardGrant = { generation: 0, shards: [] };
  /** Set once this daemon leaves: resolves when all workers are released. */
  private releasing: Promise<void> | undefined;

  private constructor(private readonly options: ServedWorkersOptions) {}

  static create(options: ServedWorkersOptions): ServedWorkers {
    return new ServedWorkers(options);
  }

  /**
   * Dispatches to the workers of the granted shards from now on, unless this daemon leaves.
   *
   * @returns a promise that resolves when the other workers are released; while this daemon leaves, all
   */
  applyGrant(grant: ShardGrant): Promise<unknown> {
    this.grant = grant;
    return this.update();
  }

  /**
   * Applies a change of the listed workers.
   *
   * @returns a promise that resolves when the workers that are no longer served are released; while this
   *   daemon leaves, all
   */
  update(): Promise<unknown> {
    if (this.releasing !== undefined) {
      return this.releasing;
    }
    const { directory, dispatcher, failureDomainId, shardCount } = this.options;
    const all = directory.list();
    dispatcher.recordEntries(all);
    const listed = all.filter((worker) => worker.failureDomainId === failureDomainId);
    const own = workersOfShards(listed, this.grant.shards, shardCount);
    return dispatcher.setWorkers(own, this.grant.generation);
  }

  /**
   * Serves no worker from now on, whatever the store grants.
   *
   * @returns a promise that resolves when all workers are released
   */
  release(): Promise<void> {
    this.releasing ??= this.options.dispatcher.setWorkers([], this.grant.generation);
    return this.releasing;
  }
}
