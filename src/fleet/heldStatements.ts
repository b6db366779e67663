/**
 * Composes what heartbeats state of held jobs: those of this daemon, and to daemons of its own failure domain those that
 * holders in other ones have stated to it.
 */
import type { HeldJob } from '../bestEffort/runningJobs.js';
import type { Clock } from '../ports/clock.js';
import type { HeldJobGroup } from '../types/fleet.js';
import type { HeldJobs } from './heldJobs.js';
import { StatementTurns } from './statementTurns.js';
import type { Statable, StatementLimits } from './statementTurns.js';

/** Twice, since an answer with a heartbeat may be lost unnoticed. */
export const ownLimits: StatementLimits = { minStatements: 2, maxDue: 256, maxRepeated: 32 };
/** Once, since the holder states each job twice, to two daemons of the failure domain and more. */
export const passedOnLimits: StatementLimits = { minStatements: 1, maxDue: 64, maxRepeated: 32 };

export interface HeldStatementsOptions {
  readonly clock: Clock;
  /** Incarnation of this daemon. */
  readonly ownId: string;
  /** Lists the jobs of this daemon of which runs may go on, the latest first. */
  readonly listHeld: () => readonly HeldJob[];
  readonly held: Pick<HeldJobs, 'listPassedOn'>;
}

export class HeldStatements {
  private readonly own = StatementTurns.create(ownLimits);
  private readonly passedOn = StatementTurns.create(passedOnLimits);

  private constructor(private readonly options: HeldStatementsOptions) {}

  static create(options: HeldStatementsOptions): HeldStatements {
    return new HeldStatements(options);
  }

  /**
   * Composes the statement of one heartbeat.
   *
   * @param peer - incarnation of the receiving process; undefined if there is no contact with it yet
   */
  compose(peer: string | undefined, isSameDomain: boolean): HeldJobGroup[] {
    const { held } = this.options;
    const own = this.own.choose(peer, this.listOwn());
    const passedOn = isSameDomain ? this.passedOn.choose(peer, held.listPassedOn()) : [];
    return this.toGroups([...own, ...passedOn]);
  }

  /** Forgets what a process was told with which contact is lost. */
  forget(peer: string): void {
    this.own.forget(peer);
    this.passedOn.forget(peer);
  }

  /** Lists each job of this daemon once, with the longest of its times, the oldest first: its caller may be back soonest. */
  private listOwn(): Statable[] {
    const { clock, listHeld, ownId: holder } = this.options;
    const nowMs = clock.nowMs();
    const leftMsByJob = new Map<string, number>();
    for (const { jobId, leftMs } of [...listHeld()].reverse()) {
      leftMsByJob.set(jobId, Math.max(leftMs, leftMsByJob.get(jobId) ?? 0));
    }
    return [...leftMsByJob].map(([jobId, leftMs]) => ({
      key: jobId,
      jobId,
      holder,
      untilMs: nowMs + leftMs,
    }));
  }

  private toGroups(jobs: readonly Statable[]): HeldJobGroup[] {
    const { clock, ownId } = this.options;
    const nowMs = clock.nowMs();
    const groups = new Map<string, Record<string, number>>();
    for (const { jobId, holder, untilMs } of jobs) {
      const leftMsByJob = groups.get(holder) ?? {};
      leftMsByJob[jobId] = Math.max(Math.ceil(untilMs - nowMs), 0);
      groups.set(holder, leftMsByJob);
    }
    return [...groups].map(([holder, leftMsByJob]) =>
      holder === ownId ? { leftMsByJob } : { holder, leftMsByJob },
    );
  }
}
