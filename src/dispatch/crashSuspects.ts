/**
 * The tasks that ran on workers when these were lost: each may have crashed its worker. Daemons tell each
 * other of them, so that a task is also known where its job is submitted again. A worker that was only silent
 * makes a suspect, which is run alone (`taskLosses.ts` tells what follows from the losses).
 */
import { unreachable } from '../errors/unreachable.js';
import type { Clock } from '../ports/clock.js';
import type { SuspectTask } from '../types/fleet.js';
import type { TaskLoss } from '../types/losses.js';
import {
  addLoss,
  areEqualLosses,
  consequenceOfLosses,
  countLosses,
  fromStatedLosses,
  joinLosses,
  noLosses,
  toStatedLosses,
} from './taskLosses.js';
import type { TaskLosses } from './taskLosses.js';

/** Suspects are announced for this long after their last change: two of the longest heartbeat periods. */
export const announcementMs = 3_000;
/** Newcomers are told of what has changed in this time, in which callers may send their jobs again. */
const newsMs = 120_000;
/** The answer of a silent worker is awaited for this long from when its loss was heard of, in milliseconds. */
const maxProofWaitMs = 5_000;
/** Suspects in one heartbeat. */
const maxAnnouncedSuspects = 64;
const maxRememberedSuspects = 1_024;

/** The peers that are told of a change: those of the own failure domain, or those of others. */
type Domain = 'own-domain' | 'other-domain';

/** A peer that gets an announcement. `newcomer`: contact with it has just begun, or again. */
export type Audience = Domain | 'newcomer';

/** Where what is recorded comes from. */
export type SuspectSource = 'own' | Domain;

interface Suspect {
  readonly losses: TaskLosses;
  /** When it last changed, in monotonic time. */
  readonly changedAtMs: number;
  /** When awaited losses were heard of, in monotonic time, by their identifiers. */
  readonly awaitedSinceMs: ReadonlyMap<string, number>;
  /** The peers that are told of the change. */
  readonly audiences: ReadonlySet<Domain>;
}

export class CrashSuspects {
  /** By name of the task; the one that changed last is at the end. */
  private readonly suspects = new Map<string, Suspect>();

  private constructor(
    private readonly clock: Clock,
    private readonly onLikelyCrash: () => void,
  ) {}

  /**
   * @param onLikelyCrash - called when it is found here that a worker has likely crashed under a task
   */
  static create(clock: Clock, onLikelyCrash: () => void = () => undefined): CrashSuspects {
    return new CrashSuspects(clock, onLikelyCrash);
  }

  /** Whether workers are known to have been lost under a task. */
  has(taskName: string): boolean {
    return this.suspects.has(taskName);
  }

  /** @returns the workers that were lost while they ran a task */
  lossesOf(taskName: string): TaskLosses {
    const suspect = this.suspects.get(taskName);
    return suspect === undefined ? noLosses : this.endWaits(suspect);
  }

  /** Records a loss of a task as seen here, or what it has turned out to be. */
  recordOwn(taskName: string, loss: TaskLoss): void {
    const isNews = this.record(taskName, addLoss(noLosses, loss), 'own');
    if (isNews && loss.status === 'likely') {
      this.onLikelyCrash();
    }
  }

  /** Records what a batch states of a task, which those have announced who saw it. */
  recordStated(taskName: string, losses: TaskLosses): void {
    this.record(taskName, losses, 'own-domain');
  }

  /**
   * Records what another daemon has announced of a task.
   *
   * @returns whether it was news
   */
  recordAnnounced(suspect: SuspectTask, source: SuspectSource): boolean {
    return this.record(suspect.taskName, fromStatedLosses(suspect), source);
  }

  /** Lists the suspects to announce, those with the most likely crashes, then lost workers, then the latest first. */
  listAnnounced(audience: Audience): SuspectTask[] {
    const nowMs = this.clock.nowMs();
    return [...this.suspects]
      .filter(([, { changedAtMs, audiences }]) =>
        audience === 'newcomer'
          ? changedAtMs + newsMs >= nowMs
          : changedAtMs + announcementMs >= nowMs && audiences.has(audience),
      )
      .map(([taskName, suspect]) => ({
        ...{ taskName, losses: this.endWaits(suspect), changedAtMs: suspect.changedAtMs },
        counts: countLosses(suspect.losses),
      }))
      .sort(
        ({ counts: a, changedAtMs: aMs }, { counts: b, changedAtMs: bMs }) =>
          b.likelyCrashes - a.likelyCrashes || b.lostWorkers - a.lostWorkers || bMs - aMs,
      )
      .slice(0, maxAnnouncedSuspects)
      .map(({ taskName, losses }) => ({ taskName, ...toStatedLosses(losses) }));
  }

  /** Ignores what is known already, so that announcements have an end. */
  private record(taskName: string, learned: TaskLosses, source: SuspectSource): boolean {
    const before = this.suspects.get(taskName);
    const known = before === undefined ? noLosses : this.endWaits(before);
    const losses = joinLosses(known, learned);
    if (areEqualLosses(losses, known)) {
      return false;
    }
    const changedAtMs = this.clock.nowMs();
    const isAnnouncing = before !== undefined && changedAtMs - before.changedAtMs <= announcementMs;
    const audiences = new Set(audiencesOf(losses, source));
    if (isAnnouncing) {
      before.audiences.forEach((audience) => audiences.add(audience));
    }
    this.suspects.delete(taskName);
    const awaitedSinceMs = new Map(
      awaitedIds(losses).map((id) => [id, before?.awaitedSinceMs.get(id) ?? changedAtMs]),
    );
    this.suspects.set(taskName, { losses, changedAtMs, awaitedSinceMs, audiences });
    const [oldest] = this.suspects.keys();
    if (this.suspects.size > maxRememberedSuspects && oldest !== undefined) {
      this.suspects.delete(oldest);
    }
    return true;
  }

  /** @returns the losses of a suspect; those that were awaited for too long are unclear */
  private endWaits({ losses, awaitedSinceMs }: Suspect): TaskLosses {
    const sinceMs = this.clock.nowMs() - maxProofWaitMs;
    return awaitedIds(losses)
      .filter((id) => (awaitedSinceMs.get(id) ?? -Infinity) <= sinceMs)
      .reduce((all, id) => addLoss(all, { id, status: 'unclear' }), losses);
  }
}

const awaitedIds = ({ known }: TaskLosses): string[] =>
  [...known].flatMap(([id, status]) => (status === 'awaited' ? [id] : []));

/**
 * Who is told of a change. A task that is not started any more has to be known by daemons with which the one that saw
 * it has no contact. All else goes to each domain from those of its members that hear of it from another one, so that
 * what the fleet sends of a loss grows with the daemons and not with their square.
 */
const audiencesOf = (losses: TaskLosses, source: SuspectSource): readonly Domain[] => {
  if (consequenceOfLosses(losses) !== 'may-start') {
    return ['own-domain', 'other-domain'];
  }
  switch (source) {
    case 'own':
      return ['own-domain', 'other-domain'];
    case 'other-domain':
      return ['own-domain'];
    case 'own-domain':
      return [];
    default:
      return unreachable(source);
  }
};
