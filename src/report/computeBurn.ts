/**
 * Computes error-budget burn rates of each caller class from minute sums. A class whose share of bad
 * jobs is exactly what its objective allows has burn rate 1.
 */
import type { ServiceLevelObjective } from '../types/configuration.js';
import type { CallerClass } from '../types/inventory.js';
import type { CauseCount, MinuteSum } from '../types/report.js';

/** A time window of the report, which ends with the current minute. */
export interface BurnWindow {
  readonly name: string;
  readonly minutes: number;
}

export const burnWindows: readonly BurnWindow[] = [
  { name: '5 min', minutes: 5 },
  { name: '1 h', minutes: 60 },
  { name: '6 h', minutes: 360 },
  { name: '3 d', minutes: 4_320 },
];

/** The burn of one class over one window. */
export interface WindowBurn {
  readonly window: string;
  readonly total: number;
  readonly bad: number;
  /** 1 uses the error budget up exactly; null without jobs. */
  readonly burnRate: number | null;
  /** Minutes of a daemon without a sum, added up over daemons; they count neither as good nor as bad. */
  readonly missingMinutes: number;
}

/** The burn of one class over all windows. */
export interface ClassBurn {
  readonly class: CallerClass;
  /** Share of jobs that should be good, from 0 to 1. */
  readonly target: number;
  readonly windows: readonly WindowBurn[];
  /** Share of the longest window's error budget that is left; negative if exceeded, null without jobs. */
  readonly budgetLeft: number | null;
  readonly topCauses: readonly CauseCount[];
  /** Burn rate of each of the last minutes, oldest first; null for a minute without jobs. */
  readonly lastMinutes: readonly (number | null)[];
}

const maxTopCauses = 5;
const plottedMinutes = 60;

/**
 * Computes the burn of every class that has an objective.
 *
 * @param sums - minute sums of all daemons, in any order; duplicates count once
 * @param objectives - the objectives in force
 * @param nowMinute - the current minute since the epoch
 * @returns the burn of each class, in the order of the objectives
 */
export const computeBurn = (
  sums: readonly MinuteSum[],
  objectives: readonly ServiceLevelObjective[],
  nowMinute: number,
): ClassBurn[] => {
  const distinct = deduplicate(sums);
  return objectives.map((objective) => computeClassBurn(distinct, objective, nowMinute));
};

/**
 * Keeps one sum for each minute of a daemon, the one with the most jobs. A daemon appends a minute again
 * if the log service's answer to the first append was lost.
 */
const deduplicate = (sums: readonly MinuteSum[]): MinuteSum[] => {
  const distinct = new Map<string, MinuteSum>();
  for (const sum of sums) {
    const key = `${sum.incarnation} ${sum.minute}`;
    const existing = distinct.get(key);
    if (existing === undefined || countJobs(sum) > countJobs(existing)) {
      distinct.set(key, sum);
    }
  }
  return [...distinct.values()];
};

const countJobs = ({ classes }: MinuteSum): number =>
  classes.reduce((total, sum) => total + sum.total, 0);

const computeClassBurn = (
  sums: readonly MinuteSum[],
  objective: ServiceLevelObjective,
  nowMinute: number,
): ClassBurn => {
  const windows = burnWindows.map((window) =>
    computeWindowBurn(sums, objective, nowMinute, window),
  );
  const longestWindow = windows.at(-1);
  const burnRate = longestWindow?.burnRate ?? null;
  return {
    class: objective.class,
    target: objective.target,
    windows,
    budgetLeft: burnRate === null ? null : 1 - burnRate,
    topCauses: rankCauses(sums, objective.class),
    lastMinutes: Array.from({ length: plottedMinutes }, (_, i) =>
      computeBurnRate(
        sums,
        objective,
        nowMinute - plottedMinutes + 1 + i,
        nowMinute - plottedMinutes + 1 + i,
      ),
    ),
  };
};

const computeWindowBurn = (
  sums: readonly MinuteSum[],
  objective: ServiceLevelObjective,
  nowMinute: number,
  { name, minutes }: BurnWindow,
): WindowBurn => {
  const firstMinute = nowMinute - minutes + 1;
  const { total, bad } = countJobsInRange(sums, objective.class, firstMinute, nowMinute);
  return {
    window: name,
    total,
    bad,
    burnRate: computeBurnRate(sums, objective, firstMinute, nowMinute),
    missingMinutes: countMissingMinutes(sums, firstMinute, nowMinute),
  };
};

const computeBurnRate = (
  sums: readonly MinuteSum[],
  { class: callerClass, target }: ServiceLevelObjective,
  firstMinute: number,
  lastMinute: number,
): number | null => {
  const { total, bad } = countJobsInRange(sums, callerClass, firstMinute, lastMinute);
  return total === 0 ? null : bad / total / (1 - target);
};

const countJobsInRange = (
  sums: readonly MinuteSum[],
  callerClass: CallerClass,
  firstMinute: number,
  lastMinute: number,
): { total: number; bad: number } => {
  let total = 0;
  let bad = 0;
  for (const { minute, classes } of sums) {
    if (minute < firstMinute || minute > lastMinute) {
      continue;
    }
    for (const sum of classes) {
      if (sum.class === callerClass) {
        total += sum.total;
        bad += sum.bad.reduce((count, cause) => count + cause.count, 0);
      }
    }
  }
  return { total, bad };
};

/**
 * Counts the gaps in a range. A daemon is expected to have a sum for every minute from its first sum to
 * its last, since idle minutes are written too.
 */
const countMissingMinutes = (
  sums: readonly MinuteSum[],
  firstMinute: number,
  lastMinute: number,
): number => {
  const minutesByIncarnation = new Map<string, number[]>();
  for (const { incarnation, minute } of sums) {
    const minutes = minutesByIncarnation.get(incarnation) ?? [];
    minutes.push(minute);
    minutesByIncarnation.set(incarnation, minutes);
  }
  let missing = 0;
  for (const minutes of minutesByIncarnation.values()) {
    const from = Math.max(firstMinute, Math.min(...minutes));
    const to = Math.min(lastMinute, Math.max(...minutes));
    const present = minutes.filter((minute) => minute >= from && minute <= to).length;
    missing += Math.max(0, to - from + 1 - present);
  }
  return missing;
};

/** Returns the most frequent causes of bad jobs, the most frequent first. */
const rankCauses = (sums: readonly MinuteSum[], callerClass: CallerClass): CauseCount[] => {
  const counts = new Map<CauseCount['cause'], number>();
  for (const { classes } of sums) {
    for (const { cause, count } of classes.find((s) => s.class === callerClass)?.bad ?? []) {
      counts.set(cause, (counts.get(cause) ?? 0) + count);
    }
  }
  return [...counts]
    .map(([cause, count]) => ({ cause, count }))
    .sort((a, b) => b.count - a.count)
    .slice(0, maxTopCauses);
};
