/**
 * A set from which a member can be drawn at random in constant time.
 */
export class IndexedSet<T> {
  private readonly members: T[] = [];
  private readonly positions = new Map<T, number>();

  private constructor() {
    // Built by create.
  }

  static create<T>(): IndexedSet<T> {
    return new IndexedSet<T>();
  }

  get size(): number {
    return this.members.length;
  }

  add(member: T): void {
    if (!this.positions.has(member)) {
      this.positions.set(member, this.members.length);
      this.members.push(member);
    }
  }

  delete(member: T): void {
    const position = this.positions.get(member);
    if (position === undefined) {
      return;
    }
    this.positions.delete(member);
    const last = this.members.pop();
    if (last !== undefined && last !== member) {
      this.members[position] = last;
      this.positions.set(last, position);
    }
  }

  /**
   * Draws a member.
   *
   * @param unit - a random number of at least 0 and less than 1
   * @returns the member, or nothing if the set is empty
   */
  draw(unit: number): T | undefined {
    return this.members[Math.floor(unit * this.members.length)];
  }
}
