/**
 * The shards of one failure domain in the model's store, which it divides evenly among the members. A shard
 * that is taken from a member goes to another one once the first has confirmed the change, has left, or has
 * been silent for too long.
 */
import type { Member, ShardGrant } from '../../types/fleet.js';

/** Silence after which a member is removed, in milliseconds. */
const memberTtlMs = 2_000;

interface GroupMember {
  readonly member: Member;
  joinedAtMs: number;
  confirmedGeneration: number;
}

interface Shard {
  owner: string | undefined;
  target: string | undefined;
  /** Generation in which the target changed. */
  changedIn: number;
}

export class ModelShards {
  private generation = 0;
  private readonly members = new Map<string, GroupMember>();
  private readonly shards: readonly Shard[];

  private constructor(shardCount: number) {
    this.shards = Array.from({ length: shardCount }, () => ({
      ...{ owner: undefined, target: undefined, changedIn: 0 },
    }));
  }

  static create(shardCount: number): ModelShards {
    return new ModelShards(shardCount);
  }

  join(member: Member, confirmedGeneration: number, nowMs: number): ShardGrant {
    const { incarnation } = member;
    this.removeExpired(nowMs);
    const known = this.members.get(incarnation);
    this.members.set(incarnation, { member, joinedAtMs: nowMs, confirmedGeneration });
    if (known === undefined) {
      this.distribute();
    }
    this.handOver();
    const shards = [...this.shards.entries()].flatMap(([index, { owner, target }]) =>
      owner === incarnation && target === incarnation ? [index] : [],
    );
    return { generation: this.generation, shards };
  }

  leave({ incarnation }: Member): void {
    if (this.members.delete(incarnation)) {
      this.release(incarnation);
      this.distribute();
      this.handOver();
    }
  }

  list(nowMs: number): Member[] {
    this.removeExpired(nowMs);
    return [...this.members.values()].map(({ member }) => member);
  }

  private removeExpired(nowMs: number): void {
    const expired = [...this.members].filter(([, one]) => nowMs - one.joinedAtMs > memberTtlMs);
    for (const [incarnation] of expired) {
      this.members.delete(incarnation);
      this.release(incarnation);
    }
    if (expired.length > 0) {
      this.distribute();
      this.handOver();
    }
  }

  private release(incarnation: string): void {
    for (const shard of this.shards.filter(({ owner }) => owner === incarnation)) {
      shard.owner = undefined;
    }
  }

  /** Assigns the shards evenly, in a new generation. */
  private distribute(): void {
    this.generation += 1;
    const incarnations = [...this.members.keys()];
    for (const [index, shard] of this.shards.entries()) {
      const target = incarnations[index % incarnations.length];
      if (shard.target !== target) {
        shard.target = target;
        shard.changedIn = this.generation;
      }
    }
  }

  /** Gives each shard whose former member has released it to the next one, in a new generation. */
  private handOver(): void {
    const released = this.shards.filter(
      ({ owner, target, changedIn }) =>
        owner !== target &&
        (owner === undefined || (this.members.get(owner)?.confirmedGeneration ?? 0) >= changedIn),
    );
    if (released.length > 0) {
      this.generation += 1;
      released.forEach((shard) => (shard.owner = shard.target));
    }
  }
}
