/**
 * Keeps this daemon's shards of workers: one async function renews the membership in the store.
 */
import { createHash } from 'node:crypto';
import type { Clock } from '../ports/clock.js';
import type { FleetStore } from '../ports/fleetStore.js';
import type { Logger } from '../ports/logger.js';
import { Dependency } from '../utils/dependency.js';
import { WakeableSleep } from '../utils/wakeableSleep.js';
import type { Member, ShardGrant } from '../types/fleet.js';

const renewPeriodMs = 600;
/** Time for the runs on the workers of a lost shard to end before another daemon gets it. */
const maxReleaseMs = 2_000;

export interface ShardKeeperOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: FleetStore;
  readonly member: Member;
  /**
   * Called with every change of the grant.
   *
   * @returns a promise that resolves when the workers of lost shards are let go
   */
  readonly onGrant: (grant: ShardGrant) => Promise<unknown>;
  /** Called when the store answers again. */
  readonly onBack: () => void;
  /** Tells whether this daemon should have shards. */
  readonly isNeeded: () => boolean;
}

export class ShardKeeper {
  private grant: ShardGrant = { generation: 0, shards: [] };
  /** Generation whose losses are carried out. */
  private confirmedGeneration = 0;
  private isMember = false;
  private readonly stop = new AbortController();
  private readonly logger: Logger;
  private readonly dependency: Dependency;
  private readonly pauses: WakeableSleep;
  private readonly keeping: Promise<void>;

  private constructor(private readonly options: ShardKeeperOptions) {
    this.logger = options.logger.forPart('shards');
    this.dependency = Dependency.create('membership in the store', this.logger, options.clock);
    this.pauses = WakeableSleep.create(options.clock);
    this.keeping = this.keep();
  }

  static create(options: ShardKeeperOptions): ShardKeeper {
    return new ShardKeeper(options);
  }

  /** Gives all shards up; call it when nothing runs on their workers. */
  async leave(): Promise<void> {
    await this.close();
    await this.tellLeaving();
  }

  private async tellLeaving(): Promise<void> {
    const left = await this.options.store.leave(this.options.member);
    if (left.isErr()) {
      this.logger.warn('The store was not told that this daemon leaves.', {
        reason: left.error.detail,
      });
    }
  }

  async close(): Promise<void> {
    this.stop.abort();
    this.pauses.close();
    await this.keeping;
  }

  private async keep(): Promise<void> {
    while (!this.stop.signal.aborted) {
      if (this.options.isNeeded()) {
        await this.renew();
      } else if (this.isMember) {
        await this.standBy();
      }
      await this.pauses.sleep(renewPeriodMs);
    }
  }

  /** Lets the workers go as their runs end, then gives the shards back. */
  private async standBy(): Promise<void> {
    const { clock, onGrant } = this.options;
    const { generation } = this.grant;
    this.logger.info('This daemon gives its shards to larger ones.', { generation });
    this.grant = { generation, shards: [] };
    await Promise.race([onGrant(this.grant), clock.sleep(maxReleaseMs, this.stop.signal)]);
    await this.tellLeaving();
    this.isMember = false;
  }

  private async renew(): Promise<void> {
    const { store, member } = this.options;
    this.isMember = true;
    const joined = await store.join(member, this.confirmedGeneration);
    if (joined.isErr()) {
      this.dependency.noteLost(joined.error.detail);
      return;
    }
    if (this.dependency.isLost) {
      this.dependency.noteReached();
      this.options.onBack();
    }
    if (!this.stop.signal.aborted && !isSameGrant(this.grant, joined.value)) {
      this.take(joined.value);
    }
  }

  private take(grant: ShardGrant): void {
    this.grant = grant;
    this.logger.info('The shards of this daemon have changed.', {
      generation: grant.generation,
      count: grant.shards.length,
    });
    void this.confirm(grant);
  }

  /** Names the generation to the store once the workers of lost shards are let go. */
  private async confirm(grant: ShardGrant): Promise<void> {
    const { clock, onGrant } = this.options;
    await Promise.race([onGrant(grant), clock.sleep(maxReleaseMs, this.stop.signal)]);
    if (grant.generation > this.confirmedGeneration && this.grant === grant) {
      this.confirmedGeneration = grant.generation;
      this.pauses.wake();
    }
  }
}

/**
 * Tells the shard of a worker.
 *
 * @param workerId - the worker
 * @param shardCount - shards of its failure domain
 */
export const shardOf = (workerId: string, shardCount: number): number =>
  createHash('sha256').update(workerId).digest().readUInt32BE(0) % shardCount;

const isSameGrant = (a: ShardGrant, b: ShardGrant): boolean =>
  a.generation === b.generation && [...a.shards].sort().join() === [...b.shards].sort().join();
