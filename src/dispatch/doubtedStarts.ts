/**
 * Starts that a worker may still carry out though nobody can prove what becomes of them. Daemons tell each other of
 * them, so that a task starts nowhere else meanwhile, also if its job comes again at another daemon or the dispatcher
 * that sent the start is lost.
 */
import { unreachable } from '../errors/unreachable.js';
import type { Clock } from '../ports/clock.js';
import type { DoubtedStart } from '../types/fleet.js';
import type { ActiveRun } from './activeRun.js';
import { announcementMs } from './crashSuspects.js';
import type { Audience, SuspectSource } from './crashSuspects.js';
import { maxOrderDelayMs } from './unansweredStarts.js';

/**
 * Time for which the tasks of a batch are in doubt after their dispatcher was last heard: the membership of one that was
 * killed has expired then, and others have taken its workers over, which refuse its fencing token unless they start again.
 */
const lostBatchDoubtMs = 2_500;
/** Doubts in one heartbeat. */
const maxAnnouncedDoubts = 64;
/** Time after which the next ones of many doubts are announced, in milliseconds. */
const announcementTurnMs = 300;
const maxRememberedDoubts = 4_096;
/** Time after its last change for which a doubt is remembered: longer than one is open, or announced by anyone. */
const memoryMs = 20_000;

/** Called by each worker with what concerns doubts. */
export interface DoubtListeners {
  /** Called with a run whose start got no answer, and that the worker does not list. */
  readonly onUnanswered?: ((workerId: string, run: ActiveRun) => void) | undefined;
  /** Called when the worker was taken over, so that in this lifetime it refuses the orders of earlier dispatchers. */
  readonly onTakeOver?: ((workerId: string) => void) | undefined;
}

interface Doubt {
  readonly start: Omit<DoubtedStart, 'leftMs'>;
  /** When the doubt ends at the latest, in monotonic time. */
  readonly untilMs: number;
  /** When it was heard of, or its end, in monotonic time. */
  readonly changedAtMs: number;
  readonly source: SuspectSource;
}

export class DoubtedStarts {
  /** By identifier; the one that changed last is at the end. */
  private readonly doubts = new Map<string, Doubt>();
  private readonly idsByTask = new Map<string, Set<string>>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): DoubtedStarts {
    return new DoubtedStarts(clock);
  }

  /** Number of starts that are remembered. */
  get size(): number {
    return this.doubts.size;
  }

  /** Whether a start of a task may still be carried out somewhere. */
  isDoubted(taskName: string): boolean {
    const nowMs = this.clock.nowMs();
    return [...(this.idsByTask.get(taskName) ?? [])].some((id) => {
      const doubt = this.doubts.get(id);
      return doubt !== undefined && isOpen(doubt, nowMs);
    });
  }

  /** Records a start of this daemon that got no answer. */
  recordUnanswered(id: string, taskName: string, workerId: string): void {
    this.record({ id, taskName, workerId, status: 'open' }, 'own', maxOrderDelayMs);
  }

  /**
   * Records that a dispatcher was lost that may have started tasks.
   *
   * @param batchId - their batch
   * @param taskNames - names of the tasks
   * @param unheardMs - time since the dispatcher was heard, in milliseconds
   */
  recordLostBatch(batchId: string, taskNames: readonly string[], unheardMs: number): void {
    const leftMs = Math.max(lostBatchDoubtMs - unheardMs, 0);
    for (const taskName of taskNames) {
      const id = `${batchId}/${taskName}`;
      this.record({ id, taskName, status: 'open' }, 'own', leftMs);
    }
  }

  /** Records that it is known what became of a start. */
  resolve(id: string): void {
    const doubt = this.doubts.get(id);
    if (doubt !== undefined) {
      this.record({ ...doubt.start, status: 'over' }, 'own', 0);
    }
  }

  /** Records that this daemon has taken a worker over, which in this lifetime refuses the starts of earlier dispatchers. */
  resolveAt(workerId: string): void {
    for (const { start, source } of [...this.doubts.values()]) {
      if (start.workerId === workerId && source !== 'own') {
        this.resolve(start.id);
      }
    }
  }

  /** Records what another daemon has announced. */
  recordAnnounced({ leftMs, ...start }: DoubtedStart, source: SuspectSource): void {
    this.record(start, source, Math.min(leftMs, maxOrderDelayMs));
  }

  /** Lists the doubts to announce now, the latest first; where they are many, each part of them in turn. */
  listAnnounced(audience: Audience): DoubtedStart[] {
    const nowMs = this.clock.nowMs();
    this.forgetOld(nowMs);
    const announced = [...this.doubts.values()]
      .filter((doubt) => isAnnouncedTo(audience, doubt, nowMs))
      .reverse();
    const turns = Math.max(Math.ceil(announced.length / maxAnnouncedDoubts), 1);
    const first = (Math.floor(nowMs / announcementTurnMs) % turns) * maxAnnouncedDoubts;
    return announced.slice(first, first + maxAnnouncedDoubts).map(({ start, untilMs }) => ({
      ...start,
      leftMs: Math.max(Math.round(untilMs - nowMs), 0),
    }));
  }

  /** Ignores what is known already, so that announcements have an end; a doubt that is over stays so. */
  private record(start: Doubt['start'], source: SuspectSource, leftMs: number): void {
    const before = this.doubts.get(start.id);
    if (before !== undefined && (before.start.status === 'over' || start.status === 'open')) {
      return;
    }
    const nowMs = this.clock.nowMs();
    this.forget(start.id);
    this.doubts.set(start.id, { start, source, untilMs: nowMs + leftMs, changedAtMs: nowMs });
    const ids = this.idsByTask.get(start.taskName) ?? new Set();
    this.idsByTask.set(start.taskName, ids.add(start.id));
    if (this.doubts.size > maxRememberedDoubts) {
      this.forgetOne(nowMs);
    }
  }

  /** Forgets the oldest doubt that is over; the oldest one if all are open. */
  private forgetOne(nowMs: number): void {
    const ids = [...this.doubts.keys()];
    const over = ids.find((id) => {
      const doubt = this.doubts.get(id);
      return doubt !== undefined && !isOpen(doubt, nowMs);
    });
    this.forget(over ?? ids[0] ?? '');
  }

  private forgetOld(nowMs: number): void {
    for (const [id, { changedAtMs }] of this.doubts) {
      if (nowMs - changedAtMs <= memoryMs) {
        return;
      }
      this.forget(id);
    }
  }

  private forget(id: string): void {
    const taskName = this.doubts.get(id)?.start.taskName;
    this.doubts.delete(id);
    if (taskName === undefined) {
      return;
    }
    const ids = this.idsByTask.get(taskName);
    ids?.delete(id);
    if (ids?.size === 0) {
      this.idsByTask.delete(taskName);
    }
  }
}

const isOpen = ({ start, untilMs }: Doubt, nowMs: number): boolean =>
  start.status === 'open' && nowMs < untilMs;

/** Whether a peer is told of a doubt: from the daemon that knows it itself, and once more within the peer's domain. */
const isAnnouncedTo = (audience: Audience, doubt: Doubt, nowMs: number): boolean => {
  const { source, changedAtMs } = doubt;
  const isNews = nowMs - changedAtMs <= announcementMs;
  switch (audience) {
    case 'newcomer':
      return isNews || isOpen(doubt, nowMs);
    case 'own-domain':
      return isNews && source !== 'own-domain';
    case 'other-domain':
      return isNews && source === 'own';
    default:
      return unreachable(audience);
  }
};
