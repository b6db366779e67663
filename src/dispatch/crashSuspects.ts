/**
 * The tasks that ran on workers when these were lost: each may have crashed its worker. Daemons tell each
 * other of them, so that a task is also known where its job is submitted again.
 */
import type { Clock } from '../ports/clock.js';
import type { SuspectTask } from '../types/fleet.js';

/** Workers that may be lost under a task before it is given up as the cause. */
export const maxLostWorkers = 2;
/** Suspects are announced for this long after their last change: two of the longest heartbeat periods. */
const announcementMs = 3_000;
/** Suspects in one heartbeat. */
const maxAnnouncedSuspects = 64;
const maxRememberedSuspects = 4_096;

interface Suspect {
  readonly lostWorkers: number;
  readonly changedAtMs: number;
}

export class CrashSuspects {
  /** By name of the task; the one that changed last is at the end. */
  private readonly suspects = new Map<string, Suspect>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): CrashSuspects {
    return new CrashSuspects(clock);
  }

  /** @returns number of workers that were lost while they ran a task */
  lostWorkersUnder(taskName: string): number {
    return this.suspects.get(taskName)?.lostWorkers ?? 0;
  }

  /**
   * Records what is known of a task. A number that is not higher than the remembered one changes nothing,
   * so that daemons can tell each other what they have heard without an end.
   */
  record({ taskName, lostWorkers }: SuspectTask): void {
    if (lostWorkers <= this.lostWorkersUnder(taskName)) {
      return;
    }
    this.suspects.delete(taskName);
    this.suspects.set(taskName, { lostWorkers, changedAtMs: this.clock.nowMs() });
    const [oldest] = this.suspects.keys();
    if (this.suspects.size > maxRememberedSuspects && oldest !== undefined) {
      this.suspects.delete(oldest);
    }
  }

  /** Lists the suspects that changed a short while ago, those with the most lost workers first. */
  listRecent(): SuspectTask[] {
    const sinceMs = this.clock.nowMs() - announcementMs;
    return [...this.suspects]
      .filter(([, { changedAtMs }]) => changedAtMs >= sinceMs)
      .map(([taskName, { lostWorkers }]) => ({ taskName, lostWorkers }))
      .sort((a, b) => b.lostWorkers - a.lostWorkers)
      .slice(0, maxAnnouncedSuspects);
  }
}
