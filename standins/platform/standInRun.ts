/**
 * Runs of tasks on worker stand-ins, and a check that no two runs of a task overlap.
 */

/** How a run ended, in the platform's words; `crashed` runs ended with their worker and are not reported. */
export type RunOutcome = 'done' | 'failed' | 'stopped' | 'lapsed' | 'crashed';

/** A run in progress. */
export interface StandInRun {
  readonly task: string;
  readonly run: number;
  /** Thousandths of a core. */
  readonly cpu: number;
  readonly startedAtMs: number;
  /** Ends the run. */
  readonly timer: NodeJS.Timeout;
}

/** The end of a run, which a worker reports until the dispatcher acknowledges it. */
export interface UnacknowledgedEnd {
  /** Position among all ends on the worker, by which they are acknowledged. */
  readonly sequence: number;
  readonly task: string;
  readonly run: number;
  readonly outcome: RunOutcome;
}

/** Specification of a task in the form that worker stand-ins understand. */
export interface StandInSpec {
  /** Run time in milliseconds, on a worker of slowdown factor 1. */
  readonly runMs: number;
  /** Thousandths of a core. */
  readonly cpu: number;
  /** Whether the run fails at its end. */
  readonly fails?: boolean;
  /** Name of a task that crashes each worker that starts it. */
  readonly crashingTask?: string;
}

/** A start that a worker carried out and how the run ended, recorded for the checks of tests. */
export interface StartRecord {
  readonly workerId: string;
  readonly task: string;
  readonly run: number;
  /** Highest fencing token that the worker had received. */
  readonly token: number;
  readonly startedAtMs: number;
  /** Undefined while the run is in progress. */
  endedAtMs: number | undefined;
  outcome: RunOutcome | undefined;
}

/** @returns tasks of which two runs overlapped in time, on any workers; once for each overlap */
export const findTasksWithOverlappingRuns = (starts: readonly StartRecord[]): string[] => {
  const byStart = [...starts].sort((a, b) => a.startedAtMs - b.startedAtMs);
  const runningUntilMs = new Map<string, number>();
  const overlapping: string[] = [];
  for (const { task, startedAtMs, endedAtMs } of byStart) {
    const untilMs = runningUntilMs.get(task) ?? -Infinity;
    if (startedAtMs < untilMs) {
      overlapping.push(task);
    }
    runningUntilMs.set(task, Math.max(untilMs, endedAtMs ?? Infinity));
  }
  return overlapping;
};
