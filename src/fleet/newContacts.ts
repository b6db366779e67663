/**
 * The processes with which contact has begun a short while ago, or again: they have not heard what was announced before.
 */
import type { Clock } from '../ports/clock.js';

export class NewContacts {
  /** When contact with a process began, in monotonic time, by its incarnation. */
  private readonly sinceMs = new Map<string, number>();

  private constructor(
    private readonly clock: Clock,
    private readonly newForMs: number,
  ) {}

  /**
   * @param newForMs - time for which a contact is new, in milliseconds
   */
  static create(clock: Clock, newForMs: number): NewContacts {
    return new NewContacts(clock, newForMs);
  }

  /** Records a message of a process. */
  record(incarnation: string): void {
    if (!this.sinceMs.has(incarnation)) {
      this.sinceMs.set(incarnation, this.clock.nowMs());
    }
  }

  /** Records that contact with a process was lost. */
  forget(incarnation: string): void {
    this.sinceMs.delete(incarnation);
  }

  /** Whether there is contact with a process, so that it hears what it is told. */
  has(incarnation: string): boolean {
    return this.sinceMs.has(incarnation);
  }

  /** Whether contact with a process is new; so it is with one that was not heard of. */
  isNew(incarnation: string | undefined): boolean {
    const sinceMs = incarnation === undefined ? undefined : this.sinceMs.get(incarnation);
    return sinceMs === undefined || this.clock.nowMs() - sinceMs <= this.newForMs;
  }
}
