/**
 * A consumer group of the store: members that share the partitions of a topic.
 */

interface GroupMember {
  readonly name: string;
  /** Newest generation that the member has named in a join. */
  confirmedGeneration: number;
  /** Time of its last join, in milliseconds. */
  lastSeenMs: number;
}

export class MemberGroup {
  /** Incremented whenever a member is added or removed. */
  generation = 0;
  private readonly members = new Map<string, GroupMember>();
  /** Current owner of each partition, by partition number. */
  private readonly owners: (string | undefined)[];
  /** Owner that each partition has to get in this generation, by partition number. */
  private targets: (string | undefined)[] = [];

  private constructor(private readonly partitionCount: number) {
    this.owners = new Array<string | undefined>(partitionCount).fill(undefined);
  }

  static create(partCount: number): MemberGroup {
    return new MemberGroup(partCount);
  }

  /**
   * Adds a member, or renews its membership. Members that have not joined for `ttlMs` are removed first.
   *
   * @param name - the member
   * @param generation - generation that the member has confirmed
   * @param ttlMs - time after its last join for which a member stays in the group
   * @returns the partitions that the member owns and does not have to give up
   */
  join(name: string, generation: number, ttlMs: number): number[] {
    const nowMs = Date.now();
    this.removeExpired(nowMs, ttlMs);
    const existing = this.members.get(name);
    if (existing === undefined) {
      this.members.set(name, { name, confirmedGeneration: generation, lastSeenMs: nowMs });
      this.rebalance();
    } else {
      existing.confirmedGeneration = generation;
      existing.lastSeenMs = nowMs;
    }
    this.handOver();
    return this.owners.flatMap((owner, part) =>
      owner === name && this.targets[part] === name ? [part] : [],
    );
  }

  /** Removes a member; its partitions go to the others at once. */
  leave(name: string): void {
    if (this.members.delete(name)) {
      this.rebalance();
      this.handOver();
    }
  }

  /** @returns the owner of each partition that has one */
  rows(): { readonly part: number; readonly member: string }[] {
    return this.owners.flatMap((member, part) => (member === undefined ? [] : [{ part, member }]));
  }

  private removeExpired(nowMs: number, ttlMs: number): void {
    const expired = [...this.members.values()].filter(
      ({ lastSeenMs }) => nowMs - lastSeenMs > ttlMs,
    );
    if (expired.length > 0) {
      expired.forEach(({ name }) => this.members.delete(name));
      this.rebalance();
    }
  }

  /** Starts a generation: assigns the partitions round-robin, in the order of the members' names. */
  private rebalance(): void {
    this.generation += 1;
    const names = [...this.members.keys()].sort();
    this.targets = Array.from(
      { length: this.partitionCount },
      (_, part) => names[part % names.length],
    );
  }

  /**
   * Assigns partitions to their target owners. A partition stays with its owner until that has left or
   * has confirmed the current generation, so that no two members hold it at the same time.
   */
  private handOver(): void {
    for (const [part, owner] of this.owners.entries()) {
      const member = owner === undefined ? undefined : this.members.get(owner);
      const isFree = member === undefined || member.confirmedGeneration >= this.generation;
      if (isFree) {
        this.owners[part] = this.targets[part];
      }
    }
  }
}
