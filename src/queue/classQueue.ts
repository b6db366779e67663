/**
 * Orders the waiting teams of one class, which share the slots evenly by slot-time.
 *
 * Start-time fair queueing with tasks of expected length: the team that was charged the least
 * slot-time goes next, and its charge is corrected when the true slot-time of a task is known.
 */
import type { Operation } from '../types/inventory.js';
import { OperationCounts } from './operationCounts.js';
import { OperationIndex } from './operationIndex.js';
import { TeamQueue } from './teamQueue.js';
import type { IsRunnable, QueuedTask } from './types.js';

/** Once this many teams are known, idle ones are removed before another is added. */
const maxTeamsBeforeCleanup = 1_024;
/** Slot-time that a team whose operations could not run may catch up at most, in milliseconds. */
const maxCatchUpMs = 2_000;

export class ClassQueue {
  /** Counts of the waiting tasks. */
  readonly waiting = OperationCounts.create();
  private readonly teams = new Map<string, TeamQueue>();
  /** Teams with waiting tasks that are not throttled, in the order of their charges. */
  private readonly teamsByOperation = OperationIndex.create<TeamQueue>();
  /** Teams whose quota allows no start now; `teamsByOperation` leaves them out. */
  private readonly throttled = new Set<string>();
  /** Largest charge at which a team was served so far; a team that was idle resumes from it. */
  private virtualTimeMs = 0;
  private waitingTeamCount = 0;

  private constructor() {
    // Built by create.
  }

  static create(): ClassQueue {
    return new ClassQueue();
  }

  /** Number of teams with waiting tasks. */
  get waitingTeams(): number {
    return this.waitingTeamCount;
  }

  /** Returns the waiting work of a team, or undefined if it is not known. */
  team(teamId: string): TeamQueue | undefined {
    return this.teams.get(teamId);
  }

  /** Adds a task to the queue of its team. */
  push(queued: QueuedTask): void {
    const { teamId, entry } = queued;
    const { operation } = entry.task;
    const team = this.teams.get(teamId) ?? this.addTeam(teamId);
    if (team.waiting.total === 0) {
      this.waitingTeamCount += 1;
      team.chargedMs = Math.max(team.chargedMs, this.virtualTimeMs);
    }
    team.push(queued);
    if (!this.throttled.has(teamId)) {
      this.teamsByOperation.add(team, operation, team.chargedMs);
    }
    this.waiting.add(operation, 1);
  }

  /**
   * Takes the next task whose operation can run now, and charges its team the expected slot-time.
   *
   * @param isRunnable - returns whether an operation can run
   * @returns the task, or undefined if none can run
   */
  takeNext(isRunnable: IsRunnable): QueuedTask | undefined {
    const team = this.teamsByOperation.findFirst(isRunnable);
    const queued = team?.takeNext(isRunnable);
    if (team === undefined || queued === undefined) {
      return undefined;
    }
    const startTagMs = Math.max(team.chargedMs, this.virtualTimeMs - maxCatchUpMs);
    this.virtualTimeMs = Math.max(this.virtualTimeMs, startTagMs);
    const { operation } = queued.entry.task;
    this.waiting.add(operation, -1);
    this.removeEmptyOperations(team, [operation]);
    this.setCharge(team, startTagMs + queued.expectedMs);
    return queued;
  }

  /** Takes no task of a team until `unthrottle`. */
  throttle(teamId: string): void {
    const team = this.teams.get(teamId);
    this.throttled.add(teamId);
    if (team !== undefined) {
      this.teamsByOperation.deleteAll(team);
    }
  }

  /** Includes the waiting tasks of a throttled team again. */
  unthrottle(teamId: string): void {
    if (!this.throttled.delete(teamId)) {
      return;
    }
    const team = this.teams.get(teamId);
    if (team === undefined) {
      return;
    }
    for (const operation of team.waiting.operations) {
      this.teamsByOperation.add(team, operation, team.chargedMs);
    }
  }

  /**
   * Corrects the charge of a team once the true slot-time of a task is known.
   *
   * @param teamId - the team
   * @param differenceMs - true slot-time minus the expected, in milliseconds
   */
  correctCharge(teamId: string, differenceMs: number): void {
    const team = this.teams.get(teamId);
    if (team !== undefined) {
      this.setCharge(team, team.chargedMs + differenceMs);
    }
  }

  /**
   * Removes every waiting task of a job.
   *
   * @param teamId - the job's team
   * @param jobId - the job
   * @returns the removed tasks
   */
  withdraw(teamId: string, jobId: string): QueuedTask[] {
    const team = this.teams.get(teamId);
    const removed = team?.withdraw(jobId) ?? [];
    if (team === undefined || removed.length === 0) {
      return [];
    }
    removed.forEach(({ entry }) => this.waiting.add(entry.task.operation, -1));
    this.removeEmptyOperations(team, new Set(removed.map(({ entry }) => entry.task.operation)));
    return removed;
  }

  private addTeam(teamId: string): TeamQueue {
    if (this.teams.size >= maxTeamsBeforeCleanup) {
      this.removeIdleTeams();
    }
    const team = TeamQueue.create(teamId);
    this.teams.set(teamId, team);
    return team;
  }

  /** Removes idle teams that are charged no more than a new team would be. */
  private removeIdleTeams(): void {
    for (const [teamId, team] of this.teams) {
      if (team.waiting.total === 0 && team.chargedMs <= this.virtualTimeMs) {
        this.teams.delete(teamId);
      }
    }
  }

  private setCharge(team: TeamQueue, chargedMs: number): void {
    team.chargedMs = chargedMs;
    this.teamsByOperation.updateKey(team, chargedMs);
  }

  /** Updates order and count for operations of which a team may have no waiting task left. */
  private removeEmptyOperations(team: TeamQueue, operations: Iterable<Operation>): void {
    for (const operation of operations) {
      if (!team.waiting.has(operation)) {
        this.teamsByOperation.delete(team, operation);
      }
    }
    if (team.waiting.total === 0) {
      this.waitingTeamCount -= 1;
    }
  }
}
