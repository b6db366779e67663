/**
 * A group of members that share the partitions of a topic.
 */

interface GroupMember {
  readonly name: string;
  confirmedGeneration: number;
  lastSeenMs: number;
}

export class MemberGroup {
  generation = 0;
  private readonly members = new Map<string, GroupMember>();
  /** Who has each partition, and who is to get it. */
  private readonly owners: (string | undefined)[];
  private targets: (string | undefined)[] = [];

  private constructor(private readonly partCount: number) {
    this.owners = new Array<string | undefined>(partCount).fill(undefined);
  }

  static create(partCount: number): MemberGroup {
    return new MemberGroup(partCount);
  }

  /** @returns the partitions of the member now */
  join(name: string, generation: number, ttlMs: number): number[] {
    const nowMs = Date.now();
    this.expire(nowMs, ttlMs);
    const known = this.members.get(name);
    if (known === undefined) {
      this.members.set(name, { name, confirmedGeneration: generation, lastSeenMs: nowMs });
      this.rebalance();
    } else {
      known.confirmedGeneration = generation;
      known.lastSeenMs = nowMs;
    }
    this.handOver();
    return this.owners.flatMap((owner, part) =>
      owner === name && this.targets[part] === name ? [part] : [],
    );
  }

  leave(name: string): void {
    if (this.members.delete(name)) {
      this.rebalance();
      this.handOver();
    }
  }

  rows(): { readonly part: number; readonly member: string }[] {
    return this.owners.flatMap((member, part) => (member === undefined ? [] : [{ part, member }]));
  }

  private expire(nowMs: number, ttlMs: number): void {
    const gone = [...this.members.values()].filter(({ lastSeenMs }) => nowMs - lastSeenMs > ttlMs);
    if (gone.length > 0) {
      gone.forEach(({ name }) => this.members.delete(name));
      this.rebalance();
    }
  }

  private rebalance(): void {
    this.generation += 1;
    const names = [...this.members.keys()].sort();
    this.targets = Array.from({ length: this.partCount }, (_, part) => names[part % names.length]);
  }

  /** Gives partitions on whose owner is gone or has named the present generation. */
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
