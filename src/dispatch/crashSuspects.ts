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
const maxRememberedSuspects = 1_024;

interface Suspect {
  readonly lostWorkers: number;
  /** When to stop announcing it, in monotonic time. */
  readonly announcedUntilMs: number;
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

  /** Records the number of workers that were lost under a task, as seen here. */
  recordOwn(suspect: SuspectTask): void {
    this.record(suspect, true);
  }

  /**
   * Records what another daemon has announced. It is announced again only if the task is given up, since
   * only that has to reach daemons with which the other one has no contact.
   */
  recordAnnounced(suspect: SuspectTask): void {
    this.record(suspect, suspect.lostWorkers >= maxLostWorkers);
  }

  /** Lists the suspects to announce, those with the most lost workers first. */
  listAnnounced(): SuspectTask[] {
    const nowMs = this.clock.nowMs();
    return [...this.suspects]
      .filter(([, { announcedUntilMs }]) => announcedUntilMs >= nowMs)
      .map(([taskName, { lostWorkers }]) => ({ taskName, lostWorkers }))
      .sort((a, b) => b.lostWorkers - a.lostWorkers)
      .slice(0, maxAnnouncedSuspects);
  }

  /** Ignores a number that is not higher than the remembered one, so that announcements have an end. */
  private record({ taskName, lostWorkers }: SuspectTask, isAnnounced: boolean): void {
    if (lostWorkers <= this.lostWorkersUnder(taskName)) {
      return;
    }
    const announcedUntilMs = isAnnounced ? this.clock.nowMs() + announcementMs : -Infinity;
    this.suspects.delete(taskName);
    this.suspects.set(taskName, { lostWorkers, announcedUntilMs });
    const [oldest] = this.suspects.keys();
    if (this.suspects.size > maxRememberedSuspects && oldest !== undefined) {
      this.suspects.delete(oldest);
    }
  }
}
