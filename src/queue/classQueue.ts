/**
 * The waiting teams of one class, which share the slots evenly by slot-time.
 *
 * Deficit round robin with a quantum of one task: the team that was given the least goes next.
 */
import type { Operation } from '../types/inventory.js';
import { OperationCounts } from './operationCounts.js';
import { OperationIndex } from './operationIndex.js';
import { TeamQueue } from './teamQueue.js';
import type { IsRunnable, QueuedTask } from './types.js';

/** Teams beyond which those that wait for nothing are forgotten. */
const maxTeamsBeforeCleanup = 1_024;
/** Slot-time by which a team whose operations could not run may catch up afterwards. */
const maxCatchUpMs = 2_000;

export class ClassQueue {
  /** The tasks that wait. */
  readonly waiting = OperationCounts.create();
  private readonly teams = new Map<string, TeamQueue>();
  private readonly teamsByOperation = OperationIndex.create<TeamQueue>();
  /** Teams whose quota lets nothing start now; they stand in no order. */
  private readonly throttled = new Set<string>();
  /** Charge of the team that was served last: where a team that comes anew starts. */
  private virtualTimeMs = 0;
  private waitingTeamCount = 0;

  private constructor() {
    // Built by create.
  }

  static create(): ClassQueue {
    return new ClassQueue();
  }

  /** Teams with a task that waits. */
  get waitingTeams(): number {
    return this.waitingTeamCount;
  }

  team(teamId: string): TeamQueue | undefined {
    return this.teams.get(teamId);
  }

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
   * Takes the next task whose operation can run now, and charges its team.
   *
   * @param isRunnable - tells which operations can run
   * @returns the task, or nothing
   */
  takeNext(isRunnable: IsRunnable): QueuedTask | undefined {
    const team = this.teamsByOperation.findFirst(isRunnable);
    const queued = team?.takeNext(isRunnable);
    if (team === undefined || queued === undefined) {
      return undefined;
    }
    const startMs = Math.max(team.chargedMs, this.virtualTimeMs - maxCatchUpMs);
    this.virtualTimeMs = Math.max(this.virtualTimeMs, startMs);
    const { operation } = queued.entry.task;
    this.waiting.add(operation, -1);
    this.removeEmptyOperations(team, [operation]);
    this.setCharge(team, startMs + queued.expectedMs);
    return queued;
  }

  /** Leaves a team out until it is opened again. */
  throttle(teamId: string): void {
    const team = this.teams.get(teamId);
    this.throttled.add(teamId);
    if (team !== undefined) {
      this.teamsByOperation.deleteAll(team);
    }
  }

  /** Lets a team take its turn again. */
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
   * @param differenceMs - true slot-time less the expected
   */
  correctCharge(teamId: string, differenceMs: number): void {
    const team = this.teams.get(teamId);
    if (team !== undefined) {
      this.setCharge(team, team.chargedMs + differenceMs);
    }
  }

  /**
   * Takes out every waiting task of a job.
   *
   * @param teamId - the job's team
   * @param jobId - the job
   * @returns the tasks
   */
  withdraw(teamId: string, jobId: string): QueuedTask[] {
    const team = this.teams.get(teamId);
    const taken = team?.withdraw(jobId) ?? [];
    if (team === undefined || taken.length === 0) {
      return [];
    }
    taken.forEach(({ entry }) => this.waiting.add(entry.task.operation, -1));
    this.removeEmptyOperations(team, new Set(taken.map(({ entry }) => entry.task.operation)));
    return taken;
  }

  private addTeam(teamId: string): TeamQueue {
    if (this.teams.size >= maxTeamsBeforeCleanup) {
      this.removeIdleTeams();
    }
    const team = TeamQueue.create(teamId);
    this.teams.set(teamId, team);
    return team;
  }

  /** A team without debt starts at the floor anyway, so nothing is lost with it. */
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
