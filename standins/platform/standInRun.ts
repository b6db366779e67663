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
  readonly record: StartRecord;
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
  /** Time from the start of that task to the crash, in milliseconds. */
  readonly crashAfterMs?: number;
}

/** A start that a worker carried out and how the run ended, recorded for the checks of tests. */
export interface StartRecord {
  readonly workerId: string;
  /** Start of the worker's life that carried it out, in Unix milliseconds. */
  readonly bornMs: number;
  readonly task: string;
  readonly run: number;
  /** Highest fencing token that the worker had received. */
  readonly token: number;
  readonly startedAtMs: number;
  /** Undefined while the run is in progress. */
  endedAtMs: number | undefined;
  outcome: RunOutcome | undefined;
}

/** Two runs of a task that were at work at the same time, on any workers that were up. */
export interface RunOverlap {
  readonly first: StartRecord;
  /** Began while `first` was at work. */
  readonly second: StartRecord;
  readonly durationMs: number;
}

/**
 * Finds the runs of a task that began while another run of it was at work. A run that is being stopped is
 * at work until its end; the runs of a crashed worker end with the crash.
 *
 * @param starts - every start, in any order
 * @param nowMs - time until which runs without an end have been at work
 */
export const findOverlaps = (
  starts: readonly StartRecord[],
  nowMs = performance.now(),
): RunOverlap[] => {
  const untilMs = ({ endedAtMs = nowMs }: StartRecord): number => endedAtMs;
  const byTask = new Map<string, StartRecord[]>();
  starts.forEach((start) => {
    byTask.set(start.task, [...(byTask.get(start.task) ?? []), start]);
  });
  return [...byTask.values()].flatMap((runs) => {
    const byStart = [...runs].sort((a, b) => a.startedAtMs - b.startedAtMs);
    return byStart.flatMap((second, index) =>
      byStart
        .slice(0, index)
        .filter((first) => second.startedAtMs < untilMs(first))
        .map((first) => {
          const durationMs = Math.min(untilMs(first), untilMs(second)) - second.startedAtMs;
          return { first, second, durationMs };
        }),
    );
  });
};

/** @returns tasks of which two runs overlapped in time, on any workers; once for each overlap */
export const findTasksWithOverlappingRuns = (starts: readonly StartRecord[]): string[] =>
  findOverlaps(starts).map(({ second }) => second.task);
