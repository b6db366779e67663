/**
 * The ends of runs that a worker stand-in reports until they are acknowledged.
 */
import type { RunOutcome, UnacknowledgedEnd } from './standInRun.js';

export class ReportedEnds {
  /** In order. */
  private ends: UnacknowledgedEnd[] = [];
  private lastSequence = 0;
  /** Wake the hold orders that wait for an end. */
  private readonly waiters = new Set<() => void>();

  private constructor() {
    // Built by create.
  }

  static create(): ReportedEnds {
    return new ReportedEnds();
  }

  /** @returns the ends that are not acknowledged */
  list(): readonly UnacknowledgedEnd[] {
    return this.ends;
  }

  /** Adds an end and wakes the hold orders that wait for one. */
  add(task: string, run: number, outcome: RunOutcome): void {
    this.lastSequence += 1;
    this.ends.push({ sequence: this.lastSequence, task, run, outcome });
    this.wakeAll();
  }

  /** Forgets the ends up to a number. */
  acknowledge(lastSeen: number): void {
    this.ends = this.ends.filter(({ sequence }) => sequence > lastSeen);
  }

  /** Waits until there is an end, `wakeAll` is called, or a time in milliseconds has passed. */
  async waitForEnd(waitMs: number): Promise<void> {
    if (this.ends.length > 0 || waitMs <= 0) {
      return;
    }
    await new Promise<void>((resolve) => {
      const wake = (): void => {
        clearTimeout(timer);
        this.waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      this.waiters.add(wake);
    });
  }

  wakeAll(): void {
    this.waiters.forEach((wake) => wake());
  }
}
