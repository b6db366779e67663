/**
 * The runs of one worker that have not ended, and the room that they take.
 */
import { addResources, noResources, subtractResources } from '../types/resources.js';
import type { Resources } from '../types/resources.js';
import type { ActiveRun, RunOutcome } from './activeRun.js';
import type { Release } from '../types/fleet.js';

/** Share of its expected time that a run is thought to need still when that time is over. */
const overtimeShare = 0.2;

export type RunEndListener = (run: ActiveRun, outcome: RunOutcome) => void;

export class RunTable {
  private readonly runs = new Map<string, ActiveRun>();
  private taken: Resources = noResources;

  private constructor(private readonly onEnd: RunEndListener) {}

  /**
   * @param onEnd - called when a run certainly runs no more
   */
  static create(onEnd: RunEndListener): RunTable {
    return new RunTable(onEnd);
  }

  get size(): number {
    return this.runs.size;
  }

  /** @returns what the runs take */
  get used(): Resources {
    return this.taken;
  }

  get(taskName: string): ActiveRun | undefined {
    return this.runs.get(taskName);
  }

  /** Tells whether a run has not ended. */
  has(run: ActiveRun): boolean {
    return this.runs.get(run.taskName) === run;
  }

  list(): ActiveRun[] {
    return [...this.runs.values()];
  }

  add(run: ActiveRun): void {
    this.runs.set(run.taskName, run);
    this.taken = addResources(this.taken, run.needs);
  }

  /** Ends a run; a second end changes nothing. */
  finish(run: ActiveRun, outcome: RunOutcome): void {
    if (this.has(run)) {
      this.runs.delete(run.taskName);
      this.taken = subtractResources(this.taken, run.needs);
      this.onEnd(run, outcome);
    }
  }

  loseAll(reason: string): void {
    this.list().forEach((run) => this.finish(run, { kind: 'lost', reason }));
  }

  /** Counts the runs of one step of a job. */
  countStep(stepName: string): number {
    return [...this.runs.keys()].filter((name) => name.startsWith(`${stepName}.`)).length;
  }

  /**
   * Tells when the cores of the runs are expected to be free.
   *
   * @param nowMs - monotonic time
   */
  releases(nowMs: number): Release[] {
    return this.list().map((run) => ({
      inMs: Math.round(remainingMs(run, nowMs)),
      cpuMillis: run.needs.cpuMillis,
    }));
  }
}

/** Expected time until a run ends; one that takes longer than expected is thought to take on. */
const remainingMs = ({ orderedAtMs, expectedMs }: ActiveRun, nowMs: number): number =>
  Math.max(orderedAtMs + expectedMs - nowMs, expectedMs * overtimeShare);
