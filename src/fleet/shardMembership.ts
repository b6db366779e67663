/**
 * Maintains this daemon's membership in the store, which grants it shards of workers. One async
 * function renews the membership periodically.
 */
import { createHash } from 'node:crypto';
import type { Clock } from '../ports/clock.js';
import type { FleetStore } from '../ports/fleetStore.js';
import type { Logger } from '../ports/logger.js';
import { abortQuietly } from '../utils/abortQuietly.js';
import { DependencyMonitor } from '../utils/dependencyMonitor.js';
import type { TaskSupervisor } from '../utils/taskSupervisor.js';
import { WakeableSleep } from '../utils/wakeableSleep.js';
import type { Member, ShardGrant } from '../types/fleet.js';

const renewPeriodMs = 600;
/**
 * Period of a new member, in milliseconds: its share changes several times. After the loss of all daemons nobody serves the workers
 * until the earlier memberships have expired and a new member has renewed.
 */
const newMemberRenewPeriodMs = 150;
/** Time for which a member is new, in milliseconds: the earlier memberships have expired by then. */
const newMemberMs = 4_000;
/** Longest wait for runs on the workers of a lost shard before it goes to another daemon. */
const maxReleaseMs = 2_000;

export interface ShardMembershipOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: FleetStore;
  readonly member: Member;
  readonly supervisor: TaskSupervisor;
  /**
   * Called with every change of the grant.
   *
   * @returns a promise that resolves when the workers of lost shards are released, or may be kept until they are asked for
   */
  readonly onGrant: (grant: ShardGrant) => Promise<unknown>;
  /** Called when the store answers again after it did not. */
  readonly onStoreReachable: () => void;
  /** Whether this daemon should have shards; called before each renewal. */
  readonly isNeeded: () => boolean;
  /** Called before a grant is applied; calls `refresh` after a standstill of this process. */
  readonly checkStandstill: () => void;
}

export class ShardMembership {
  private grant: ShardGrant = { generation: 0, shards: [] };
  /** Newest generation for which the workers of all lost shards are released. */
  private confirmedGeneration = 0;
  /** Whether the store may hold a membership of this daemon. */
  private isMember = false;
  /** Calls of `refresh`: an answer to an earlier renewal says nothing of the grant any more. */
  private refreshes = 0;
  private readonly stop = new AbortController();
  private readonly logger: Logger;
  private readonly createdAtMs: number;
  private readonly dependency: DependencyMonitor;
  private readonly renewalDelay: WakeableSleep;
  private readonly renewing: Promise<void>;

  private constructor(private readonly options: ShardMembershipOptions) {
    this.logger = options.logger.forPart('shards');
    this.createdAtMs = options.clock.nowMs();
    this.dependency = DependencyMonitor.create(
      'membership in the store',
      this.logger,
      options.clock,
    );
    this.renewalDelay = WakeableSleep.create(options.clock);
    this.renewing = options.supervisor.keep(
      'renewing the membership',
      () => this.renewPeriodically(),
      this.stop.signal,
    );
  }

  static create(options: ShardMembershipOptions): ShardMembership {
    return new ShardMembership(options);
  }

  /** Renews the membership at once. To be called when the grant may have changed unnoticed. */
  refresh(): void {
    this.refreshes += 1;
    this.renewalDelay.wake();
  }

  /** Gives up all shards. Call it when nothing runs on their workers any more. */
  async leave(): Promise<void> {
    await this.close();
    await this.leaveStore();
  }

  /** Removes the membership from the store; a failure is only logged. */
  private async leaveStore(): Promise<void> {
    const left = await this.options.store.leave(this.options.member);
    if (left.isErr()) {
      this.logger.warn('The store did not confirm that this daemon left.', {
        reason: left.error.detail,
      });
    }
  }

  /** Stops renewing; the membership remains in the store until it expires. */
  async close(): Promise<void> {
    this.stop.abort();
    this.renewalDelay.close();
    await this.renewing;
  }

  private get renewPauseMs(): number {
    const isNew = this.options.clock.nowMs() - this.createdAtMs < newMemberMs;
    return isNew && this.isMember ? newMemberRenewPeriodMs : renewPeriodMs;
  }

  private async renewPeriodically(): Promise<void> {
    while (!this.stop.signal.aborted) {
      if (this.options.isNeeded()) {
        await this.renew();
      } else if (this.isMember) {
        await this.releaseShards();
      }
      await this.renewalDelay.sleep(this.renewPauseMs);
    }
  }

  /** Releases the workers as their runs end, then gives the shards back to the store. */
  private async releaseShards(): Promise<void> {
    const { generation } = this.grant;
    this.logger.info('This daemon releases its shards to larger daemons.', { generation });
    this.grant = { generation, shards: [] };
    await this.awaitRelease(this.grant);
    await this.leaveStore();
    this.isMember = false;
  }

  /** Joins the store or renews the membership, and applies a grant that has changed. */
  private async renew(): Promise<void> {
    const { store, member, checkStandstill } = this.options;
    const { refreshes } = this;
    this.isMember = true;
    const joined = await store.join(member, this.confirmedGeneration);
    if (joined.isErr()) {
      this.dependency.recordFailure(joined.error.detail);
      return;
    }
    if (this.dependency.isUnreachable) {
      this.dependency.recordSuccess();
      this.options.onStoreReachable();
    }
    checkStandstill();
    if (this.refreshes !== refreshes) {
      return;
    }
    if (!this.stop.signal.aborted && !isSameGrant(this.grant, joined.value)) {
      this.applyGrant(joined.value);
    }
  }

  private applyGrant(grant: ShardGrant): void {
    this.grant = grant;
    this.logger.info('The shards of this daemon have changed.', {
      generation: grant.generation,
      count: grant.shards.length,
    });
    void this.options.supervisor.attempt('releasing workers', () => this.confirmRelease(grant));
  }

  /** Applies a grant, and waits until the workers of lost shards are released or may be kept until they are asked for. */
  private async awaitRelease(grant: ShardGrant): Promise<void> {
    const { clock, onGrant } = this.options;
    const timer = new AbortController();
    const timeUp = clock.sleep(maxReleaseMs, AbortSignal.any([this.stop.signal, timer.signal]));
    await Promise.race([onGrant(grant), timeUp]);
    abortQuietly(timer);
  }

  /** Confirms a generation with the next renewal, once the workers of lost shards are released. */
  private async confirmRelease(grant: ShardGrant): Promise<void> {
    await this.awaitRelease(grant);
    if (grant.generation > this.confirmedGeneration && this.grant === grant) {
      this.confirmedGeneration = grant.generation;
      this.renewalDelay.wake();
    }
  }
}

/**
 * Computes the shard of a worker from a hash of its id.
 *
 * @param workerId - the worker
 * @param shardCount - number of shards of its failure domain
 * @returns an integer from 0 to `shardCount` - 1
 */
export const shardOf = (workerId: string, shardCount: number): number =>
  createHash('sha256').update(workerId).digest().readUInt32BE(0) % shardCount;

/**
 * Selects the workers that belong to some shards.
 *
 * @param workers - workers of one failure domain
 * @param shards - the shards
 * @param shardCount - number of shards of the failure domain
 */
export const workersOfShards = <W extends { readonly workerId: string }>(
  workers: readonly W[],
  shards: readonly number[],
  shardCount: number,
): W[] => {
  const wanted = new Set(shards);
  return workers.filter(({ workerId }) => wanted.has(shardOf(workerId, shardCount)));
};

const isSameGrant = (a: ShardGrant, b: ShardGrant): boolean =>
  a.generation === b.generation && [...a.shards].sort().join() === [...b.shards].sort().join();
