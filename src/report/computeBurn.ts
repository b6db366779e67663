/**
 * Computes burn rates from minute sums: how fast each class uses up its error budget.
 */
import type { ServiceLevelObjective } from '../types/configuration.js';
import type { CallerClass } from '../types/inventory.js';
import type { CauseCount, MinuteSum } from '../types/report.js';

/** A window of the report, which ends now. */
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
  /** 1 uses the budget up exactly; nothing without jobs. */
  readonly burnRate: number | null;
  /** Minutes of daemons whose sums are not there; they count neither as good nor as bad. */
  readonly missingMinutes: number;
}

export interface ClassBurn {
  readonly class: CallerClass;
  readonly target: number;
  readonly windows: readonly WindowBurn[];
  /** Share of the longest window's budget that is left; below 0 when overdrawn. */
  readonly budgetLeft: number | null;
  readonly topCauses: readonly CauseCount[];
  /** Burn rate of each of the last minutes, oldest first; nothing without jobs. */
  readonly lastMinutes: readonly (number | null)[];
}

const maxTopCauses = 5;
const plottedMinutes = 60;

/**
 * Computes the burn of every class that has an objective.
 *
 * @param sums - minute sums of all daemons, in any order; a sum that stands twice counts once
 * @param objectives - the objectives in force
 * @param nowMinute - the present minute since the epoch
 */
export const computeBurn = (
  sums: readonly MinuteSum[],
  objectives: readonly ServiceLevelObjective[],
  nowMinute: number,
): ClassBurn[] => {
  const distinct = dropDoubles(sums);
  return objectives.map((objective) => computeClass(distinct, objective, nowMinute));
};

/** A lost answer of the log makes a daemon append a minute again; the fuller sum counts. */
const dropDoubles = (sums: readonly MinuteSum[]): MinuteSum[] => {
  const distinct = new Map<string, MinuteSum>();
  for (const sum of sums) {
    const name = `${sum.incarnation} ${sum.minute}`;
    const known = distinct.get(name);
    if (known === undefined || countJobs(sum) > countJobs(known)) {
      distinct.set(name, sum);
    }
  }
  return [...distinct.values()];
};

const countJobs = ({ classes }: MinuteSum): number =>
  classes.reduce((total, sum) => total + sum.total, 0);

const computeClass = (
  sums: readonly MinuteSum[],
  objective: ServiceLevelObjective,
  nowMinute: number,
): ClassBurn => {
  const windows = burnWindows.map((window) => computeWindow(sums, objective, nowMinute, window));
  const longest = windows.at(-1);
  const rate = longest?.burnRate ?? null;
  return {
    class: objective.class,
    target: objective.target,
    windows,
    budgetLeft: rate === null ? null : 1 - rate,
    topCauses: rankCauses(sums, objective.class),
    lastMinutes: Array.from({ length: plottedMinutes }, (_, i) =>
      rateOf(
        sums,
        objective,
        nowMinute - plottedMinutes + 1 + i,
        nowMinute - plottedMinutes + 1 + i,
      ),
    ),
  };
};

const computeWindow = (
  sums: readonly MinuteSum[],
  objective: ServiceLevelObjective,
  nowMinute: number,
  { name, minutes }: BurnWindow,
): WindowBurn => {
  const firstMinute = nowMinute - minutes + 1;
  const { total, bad } = countRange(sums, objective.class, firstMinute, nowMinute);
  return {
    window: name,
    total,
    bad,
    burnRate: rateOf(sums, objective, firstMinute, nowMinute),
    missingMinutes: countMissing(sums, firstMinute, nowMinute),
  };
};

const rateOf = (
  sums: readonly MinuteSum[],
  { class: callerClass, target }: ServiceLevelObjective,
  firstMinute: number,
  lastMinute: number,
): number | null => {
  const { total, bad } = countRange(sums, callerClass, firstMinute, lastMinute);
  return total === 0 ? null : bad / total / (1 - target);
};

const countRange = (
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

/** A daemon counts in every minute from its first sum to its last, so gaps between are missing. */
const countMissing = (
  sums: readonly MinuteSum[],
  firstMinute: number,
  lastMinute: number,
): number => {
  const minutesOf = new Map<string, number[]>();
  for (const { incarnation, minute } of sums) {
    const minutes = minutesOf.get(incarnation) ?? [];
    minutes.push(minute);
    minutesOf.set(incarnation, minutes);
  }
  let missing = 0;
  for (const minutes of minutesOf.values()) {
    const from = Math.max(firstMinute, Math.min(...minutes));
    const to = Math.min(lastMinute, Math.max(...minutes));
    const present = minutes.filter((minute) => minute >= from && minute <= to).length;
    missing += Math.max(0, to - from + 1 - present);
  }
  return missing;
};

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
