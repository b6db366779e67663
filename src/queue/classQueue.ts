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
const maxIdleTeams = 1_024;
/** Slot-time by which a team whose operations could not run may catch up afterwards. */
const maxCatchUpMs = 2_000;

export class ClassQueue {
  /** The tasks that wait. */
  readonly waiting = OperationCounts.create();
  private readonly teams = new Map<string, TeamQueue>();
  private readonly order = OperationIndex.create<TeamQueue>();
  /** Teams whose quota lets nothing start now; they stand in no order. */
  private readonly parked = new Set<string>();
  /** Charge of the team that was served last: where a team that comes anew starts. */
  private floorMs = 0;
  private teamsWaiting = 0;

  private constructor() {
    // Built by create.
  }

  static create(): ClassQueue {
    return new ClassQueue();
  }

  /** Teams with a task that waits. */
  get waitingTeams(): number {
    return this.teamsWaiting;
  }

  team(teamId: string): TeamQueue | undefined {
    return this.teams.get(teamId);
  }

  push(queued: QueuedTask): void {
    const { teamId, entry } = queued;
    const { operation } = entry.task;
    const team = this.teams.get(teamId) ?? this.addTeam(teamId);
    if (team.waiting.total === 0) {
      this.teamsWaiting += 1;
      team.chargedMs = Math.max(team.chargedMs, this.floorMs);
    }
    team.push(queued);
    if (!this.parked.has(teamId)) {
      this.order.add(team, operation, team.chargedMs);
    }
    this.waiting.add(operation, 1);
  }

  /**
   * Takes the next task whose operation can run now, and charges its team.
   *
   * @param isRunnable - tells which operations can run
   * @returns the task, or nothing
   */
  take(isRunnable: IsRunnable): QueuedTask | undefined {
    const team = this.order.first(isRunnable);
    const queued = team?.take(isRunnable);
    if (team === undefined || queued === undefined) {
      return undefined;
    }
    const startMs = Math.max(team.chargedMs, this.floorMs - maxCatchUpMs);
    this.floorMs = Math.max(this.floorMs, startMs);
    const { operation } = queued.entry.task;
    this.waiting.add(operation, -1);
    this.removeIdle(team, [operation]);
    this.charge(team, startMs + queued.expectedMs);
    return queued;
  }

  /** Leaves a team out until it is opened again. */
  park(teamId: string): void {
    const team = this.teams.get(teamId);
    this.parked.add(teamId);
    if (team !== undefined) {
      this.order.deleteAll(team);
    }
  }

  /** Lets a team take its turn again. */
  open(teamId: string): void {
    if (!this.parked.delete(teamId)) {
      return;
    }
    const team = this.teams.get(teamId);
    if (team === undefined) {
      return;
    }
    for (const operation of team.waiting.operations) {
      this.order.add(team, operation, team.chargedMs);
    }
  }

  /**
   * Corrects the charge of a team once the true slot-time of a task is known.
   *
   * @param teamId - the team
   * @param differenceMs - true slot-time less the expected
   */
  correct(teamId: string, differenceMs: number): void {
    const team = this.teams.get(teamId);
    if (team !== undefined) {
      this.charge(team, team.chargedMs + differenceMs);
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
    this.removeIdle(team, new Set(taken.map(({ entry }) => entry.task.operation)));
    return taken;
  }

  private addTeam(teamId: string): TeamQueue {
    if (this.teams.size >= maxIdleTeams) {
      this.forgetIdleTeams();
    }
    const team = TeamQueue.create(teamId);
    this.teams.set(teamId, team);
    return team;
  }

  /** A team without debt starts at the floor anyway, so nothing is lost with it. */
  private forgetIdleTeams(): void {
    for (const [teamId, team] of this.teams) {
      if (team.waiting.total === 0 && team.chargedMs <= this.floorMs) {
        this.teams.delete(teamId);
      }
    }
  }

  private charge(team: TeamQueue, chargedMs: number): void {
    team.chargedMs = chargedMs;
    this.order.rekey(team, chargedMs);
  }

  private removeIdle(team: TeamQueue, operations: Iterable<Operation>): void {
    for (const operation of operations) {
      if (!team.waiting.has(operation)) {
        this.order.delete(team, operation);
      }
    }
    if (team.waiting.total === 0) {
      this.teamsWaiting -= 1;
    }
  }
}
