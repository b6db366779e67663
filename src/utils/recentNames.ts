/**
 * A bounded set of names; when it is full, the name that was added first is removed.
 */
export class RecentNames {
  private readonly names = new Set<string>();

  private constructor(private readonly maxNames: number) {}

  static create(maxNames: number): RecentNames {
    return new RecentNames(maxNames);
  }

  add(name: string): void {
    this.names.add(name);
    const [oldest] = this.names;
    if (this.names.size > this.maxNames && oldest !== undefined) {
      this.names.delete(oldest);
    }
  }

  has(name: string): boolean {
    return this.names.has(name);
  }
}
