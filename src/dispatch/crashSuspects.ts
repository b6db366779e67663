/**
 * The tasks that ran on workers when these were lost: each may have crashed its worker. Daemons tell each
 * other of them, so that a task is also known where its job is submitted again. A worker that was only silent
 * makes a suspect, which is run alone; only workers that have crashed end a task.
 */
import type { Clock } from '../ports/clock.js';
import type { SuspectTask } from '../types/fleet.js';

/** Workers that may crash under a task before it is given up as the cause. */
export const maxCrashedWorkers = 2;
/** Suspects are announced for this long after their last change: two of the longest heartbeat periods. */
const announcementMs = 3_000;
/** Suspects in one heartbeat. */
const maxAnnouncedSuspects = 64;
const maxRememberedSuspects = 1_024;

/** Workers that were lost under a task: those that were silent or crashed, and those that crashed. */
export interface LostWorkerCounts {
  readonly lostWorkers: number;
  readonly crashedWorkers: number;
}

interface Suspect extends LostWorkerCounts {
  /** When to stop announcing it, in monotonic time. */
  readonly announcedUntilMs: number;
}

const noLostWorkers: LostWorkerCounts = { lostWorkers: 0, crashedWorkers: 0 };

export class CrashSuspects {
  /** By name of the task; the one that changed last is at the end. */
  private readonly suspects = new Map<string, Suspect>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): CrashSuspects {
    return new CrashSuspects(clock);
  }

  /** @returns the workers that were lost while they ran a task */
  countsOf(taskName: string): LostWorkerCounts {
    const { lostWorkers, crashedWorkers } = this.suspects.get(taskName) ?? noLostWorkers;
    return { lostWorkers, crashedWorkers };
  }

  /** Records the workers that were lost under a task, as seen here. */
  recordOwn(suspect: SuspectTask): void {
    this.record(suspect, true);
  }

  /**
   * Records what another daemon has announced. It is announced again only if the task is given up, since
   * only that has to reach daemons with which the other one has no contact.
   */
  recordAnnounced(suspect: SuspectTask): void {
    this.record(suspect, (suspect.crashedWorkers ?? 0) >= maxCrashedWorkers);
  }

  /** Lists the suspects to announce, those with the most crashed, then lost workers first. */
  listAnnounced(): SuspectTask[] {
    const nowMs = this.clock.nowMs();
    return [...this.suspects]
      .filter(([, { announcedUntilMs }]) => announcedUntilMs >= nowMs)
      .map(([taskName, { lostWorkers, crashedWorkers }]) => ({
        taskName,
        lostWorkers,
        crashedWorkers,
      }))
      .sort((a, b) => b.crashedWorkers - a.crashedWorkers || b.lostWorkers - a.lostWorkers)
      .slice(0, maxAnnouncedSuspects);
  }

  /** Ignores numbers that are not higher than the remembered ones, so that announcements have an end. */
  private record(suspect: SuspectTask, isAnnounced: boolean): void {
    const { taskName } = suspect;
    const known = this.countsOf(taskName);
    const counts = highestCounts(known, suspect);
    if (
      counts.lostWorkers === known.lostWorkers &&
      counts.crashedWorkers === known.crashedWorkers
    ) {
      return;
    }
    const announcedUntilMs = isAnnounced ? this.clock.nowMs() + announcementMs : -Infinity;
    this.suspects.delete(taskName);
    this.suspects.set(taskName, { ...counts, announcedUntilMs });
    const [oldest] = this.suspects.keys();
    if (this.suspects.size > maxRememberedSuspects && oldest !== undefined) {
      this.suspects.delete(oldest);
    }
  }
}

/** Combines what two parties have counted of one task; earlier versions count no crashed workers. */
export const highestCounts = (
  a: LostWorkerCounts,
  b: Pick<SuspectTask, 'lostWorkers' | 'crashedWorkers'>,
): LostWorkerCounts => ({
  lostWorkers: Math.max(a.lostWorkers, b.lostWorkers),
  crashedWorkers: Math.max(a.crashedWorkers, b.crashedWorkers ?? 0),
});
