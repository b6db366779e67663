/**
 * The tasks that ran on workers when these were lost: each may have crashed its worker. Daemons tell each
 * other of them, so that a task is also known where its job is submitted again. A worker that was only silent
 * makes a suspect, which is run alone (`lossCounts.ts` tells what follows from the counts).
 */
import type { Clock } from '../ports/clock.js';
import type { SuspectTask } from '../types/fleet.js';
import {
  areEqualLosses,
  consequenceOfLosses,
  highestLosses,
  noLosses,
  settleLoss,
  toStatedLosses,
} from './lossCounts.js';
import type { LossCounts, SettledLoss } from './lossCounts.js';

/** Suspects are announced for this long after their last change: two of the longest heartbeat periods. */
const announcementMs = 3_000;
/** Suspects in one heartbeat. */
const maxAnnouncedSuspects = 64;
const maxRememberedSuspects = 1_024;

interface Suspect {
  readonly losses: LossCounts;
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

  /** @returns the workers that were lost while they ran a task */
  countsOf(taskName: string): LossCounts {
    return this.suspects.get(taskName)?.losses ?? noLosses;
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
    const isGivenUp = consequenceOfLosses(highestLosses(noLosses, suspect)) !== 'may-start';
    this.record(suspect, isGivenUp);
  }

  /** Records what an unclear loss, as seen here, has turned out to be; that can lower what is known. */
  settle(taskName: string, settled: SettledLoss): void {
    const known = this.suspects.get(taskName);
    if (known !== undefined) {
      const losses = settleLoss(known.losses, settled);
      const announcedUntilMs =
        settled === 'none' ? known.announcedUntilMs : this.clock.nowMs() + announcementMs;
      this.suspects.set(taskName, { losses, announcedUntilMs });
    }
  }

  /** Lists the suspects to announce, those with the most likely crashes, then lost workers first. */
  listAnnounced(): SuspectTask[] {
    const nowMs = this.clock.nowMs();
    return [...this.suspects]
      .filter(([, { announcedUntilMs }]) => announcedUntilMs >= nowMs)
      .sort(([, { losses: a }], [, { losses: b }]) => {
        return b.likelyCrashes - a.likelyCrashes || b.lostWorkers - a.lostWorkers;
      })
      .slice(0, maxAnnouncedSuspects)
      .map(([taskName, { losses }]) => ({ taskName, ...toStatedLosses(losses) }));
  }

  /** Ignores numbers that are not higher than the remembered ones, so that announcements have an end. */
  private record(suspect: SuspectTask, isAnnounced: boolean): void {
    const { taskName } = suspect;
    const known = this.countsOf(taskName);
    const losses = highestLosses(known, suspect);
    if (areEqualLosses(losses, known)) {
      return;
    }
    const announcedUntilMs = isAnnounced ? this.clock.nowMs() + announcementMs : -Infinity;
    this.suspects.delete(taskName);
    this.suspects.set(taskName, { losses, announcedUntilMs });
    const [oldest] = this.suspects.keys();
    if (this.suspects.size > maxRememberedSuspects && oldest !== undefined) {
      this.suspects.delete(oldest);
    }
  }
}
