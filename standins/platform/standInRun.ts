/**
 * A run on a worker of the stand-in.
 */

/** How a run ended, as the platform spells it. */
export type StandInEnd = 'done' | 'failed' | 'stopped' | 'lapsed';

export interface StandInRun {
  readonly task: string;
  readonly run: number;
  readonly cpu: number;
  readonly startedAtMs: number;
  readonly timer: NodeJS.Timeout;
}

/** A row of ends that are kept until they are acknowledged. */
export interface EndRow {
  readonly number: number;
  readonly task: string;
  readonly run: number;
  readonly how: StandInEnd;
}

/** What the specification of a task of the stand-in asks for. */
export interface StandInSpec {
  /** How long it runs, in milliseconds. */
  readonly runMs: number;
  readonly cpu: number;
  readonly fails?: boolean;
}

/** A start that was carried out, for the checks of tests. */
export interface StartRecord {
  readonly workerId: string;
  readonly task: string;
  readonly run: number;
  readonly token: number;
  readonly startedAtMs: number;
  endedAtMs: number | undefined;
  how: StandInEnd | undefined;
}

/** @returns tasks of which two runs went on at the same time */
export const findDoubled = (starts: readonly StartRecord[]): string[] => {
  const inOrder = [...starts].sort((a, b) => a.startedAtMs - b.startedAtMs);
  const runningUntilMs = new Map<string, number>();
  const doubled: string[] = [];
  for (const { task, startedAtMs, endedAtMs } of inOrder) {
    const untilMs = runningUntilMs.get(task) ?? -Infinity;
    if (startedAtMs < untilMs) {
      doubled.push(task);
    }
    runningUntilMs.set(task, Math.max(untilMs, endedAtMs ?? Infinity));
  }
  return doubled;
};
