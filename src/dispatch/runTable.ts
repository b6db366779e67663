/**
 * The runs of one worker that have not ended, and the resources that they occupy.
 */
import { addResources, noResources, subtractResources } from '../types/resources.js';
import type { Resources } from '../types/resources.js';
import type { ActiveTasks } from './activeTasks.js';
import type { ActiveRun } from './activeRun.js';
import type { RunEvidence } from './runEvidence.js';
import type { CapacityRelease } from '../types/fleet.js';

/** A run is expected to go on for at least this share of its expected run time, also if overdue. */
const minRemainingShare = 0.2;

export type RunEndListener = (run: ActiveRun, evidence: RunEvidence) => void;

export class RunTable {
  private readonly runs = new Map<string, ActiveRun>();
  private usedResources: Resources = noResources;

  private constructor(
    private readonly activeTasks: ActiveTasks,
    private readonly onEnd: RunEndListener,
  ) {}

  /**
   * @param activeTasks - the tasks of the runs of all workers
   * @param onEnd - called once for each run, with what is known of it
   */
  static create(activeTasks: ActiveTasks, onEnd: RunEndListener): RunTable {
    return new RunTable(activeTasks, onEnd);
  }

  get size(): number {
    return this.runs.size;
  }

  /** Sum of the resources that the runs occupy. */
  get used(): Resources {
    return this.usedResources;
  }

  /** Time until which every run may go on, by what its requester has confirmed, in monotonic time. */
  get permittedUntilMs(): number {
    let untilMs = Infinity;
    for (const { task } of this.runs.values()) {
      untilMs = Math.min(untilMs, task.batch.runsUntilMs);
    }
    return untilMs;
  }

  /** Whether a lease may cover any of the runs. */
  get hasLeasedRuns(): boolean {
    return [...this.runs.values()].some(({ phase }) => phase !== 'in-doubt');
  }

  get(taskName: string): ActiveRun | undefined {
    return this.runs.get(taskName);
  }

  /** Returns whether a run has not ended. */
  has(run: ActiveRun): boolean {
    return this.runs.get(run.taskName) === run;
  }

  list(): ActiveRun[] {
    return [...this.runs.values()];
  }

  add(run: ActiveRun): void {
    this.runs.set(run.taskName, run);
    this.activeTasks.addRun(run.taskName);
    this.usedResources = addResources(this.usedResources, run.needs);
  }

  /** Removes a run and reports what is known of it; a second time is ignored. */
  finish(run: ActiveRun, evidence: RunEvidence): void {
    if (this.has(run)) {
      this.runs.delete(run.taskName);
      this.activeTasks.removeRun(run.taskName);
      this.usedResources = subtractResources(this.usedResources, run.needs);
      this.onEnd(run, evidence);
    }
  }

  /** Removes all runs with the same evidence. */
  finishAll(evidence: RunEvidence): void {
    this.list().forEach((run) => this.finish(run, evidence));
  }

  /** Counts the runs of one step of a job. */
  countStep(stepName: string): number {
    return [...this.runs.keys()].filter((name) => name.startsWith(`${stepName}.`)).length;
  }

  /**
   * Returns when the cores of each run are expected to become free.
   *
   * @param nowMs - monotonic time
   */
  releases(nowMs: number): CapacityRelease[] {
    return this.list().map((run) => ({
      inMs: Math.round(expectedRemainingMs(run, nowMs)),
      cpuMillis: run.needs.cpuMillis,
    }));
  }
}

/** Expected time until a run ends, in milliseconds. */
const expectedRemainingMs = ({ startSentAtMs, expectedMs }: ActiveRun, nowMs: number): number =>
  Math.max(startSentAtMs + expectedMs - nowMs, expectedMs * minRemainingShare);
