/**
 * Writes runs as a table for people.
 */
import type { RunMeasure } from './measures.js';
import { listBrokenPromises } from './measures.js';
import type { SystemKind } from './system.js';

/**
 * Names a system as the tables do.
 *
 * @param system - the system
 */
export const nameSystem = (system: SystemKind): string =>
  system.kind === 'toucandyke' ? 'toucandyke' : system.policy;

/**
 * Names the mix of a run by its configuration file.
 *
 * @param run - the run
 */
export const nameMix = ({ request }: RunMeasure): string =>
  request.configurationFile.replace(/^.*\//, '').replace(/\.yaml$/, '');

const columns = [
  'scenario',
  'mix',
  'system',
  'paying p50',
  'paying p99',
  'trial p50',
  'trial p99',
  'answered',
  'failed',
  'wasted/1000',
  'twice',
  'wrong',
  'cpu ms',
  'heap MB',
  'loop p99 ms',
] as const;

/**
 * Formats the runs, one line each.
 *
 * @param runs - the runs in the order of the table
 * @returns the lines of the table
 */
export const formatTable = (runs: readonly RunMeasure[]): string[] => {
  const rows = [[...columns], ...runs.map(formatRow)];
  const widths = columns.map((_, i) => Math.max(...rows.map((row) => row[i]?.length ?? 0)));
  return rows.map((row) => row.map((cell, i) => cell.padEnd(widths[i] ?? 0)).join('  '));
};

const formatRow = (run: RunMeasure): string[] => {
  const [paying, trial] = run.classes;
  const failures = run.classes.flatMap((c) => c.failures);
  return [
    run.request.scenario.kind,
    nameMix(run),
    nameSystem(run.request.system),
    formatRatio(paying?.medianOverIdeal),
    formatRatio(paying?.p99OverIdeal),
    formatRatio(trial?.medianOverIdeal),
    formatRatio(trial?.p99OverIdeal),
    String(run.classes.reduce((sum, c) => sum + c.answered, 0)),
    String(failures.reduce((sum, { count }) => sum + count, 0)),
    sumWasted(run).toFixed(1),
    String(run.startedTwice),
    String(run.wrongAnswers),
    run.cpuMsPerDaemon.toFixed(0),
    run.heapMbPerDaemon.toFixed(0),
    run.eventLoopDelayP99Ms.toFixed(0),
  ];
};

const formatRatio = (ratio = 0): string => ratio.toFixed(2);

/**
 * Adds up the wasted messages of all causes.
 *
 * @param run - the run
 * @returns messages for each 1,000 tasks
 */
export const sumWasted = (run: RunMeasure): number =>
  run.wasted.reduce((sum, { messagesPer1000Tasks }) => sum + messagesPer1000Tasks, 0);

/**
 * Formats what failed, by kind, and what was wasted, by cause.
 *
 * @param runs - the runs
 * @returns a line for each run that has either
 */
export const formatCauses = (runs: readonly RunMeasure[]): string[] =>
  runs.flatMap((run) => {
    const failed = run.classes.flatMap(({ callerClass, failures }) =>
      failures.map(({ kind, count }) => `${callerClass} ${kind} ${count}`),
    );
    const wasted = run.wasted.map(
      ({ cause, messagesPer1000Tasks }) => `${cause} ${messagesPer1000Tasks.toFixed(1)}`,
    );
    const name = `${run.request.scenario.kind}, ${nameMix(run)}, ${nameSystem(run.request.system)}`;
    return failed.length + wasted.length === 0
      ? []
      : [`${name}: failed ${list(failed)}; wasted messages per 1,000 tasks ${list(wasted)}`];
  });

const list = (items: readonly string[]): string => (items.length === 0 ? 'none' : items.join(', '));

/**
 * Formats ours over each baseline: below 1, ours is less.
 *
 * @param runs - the runs
 * @returns a line for each run of a baseline
 */
export const formatRatios = (runs: readonly RunMeasure[]): string[] =>
  runs.flatMap((base) => {
    const ours = runs.find((run) => isOurs(run) && isSameLoad(run, base));
    if (isOurs(base) || ours === undefined) {
      return [];
    }
    const [payingOurs] = ours.classes;
    const [payingBase] = base.classes;
    return [
      `${base.request.scenario.kind}, ${nameMix(base)}: ours over ${nameSystem(base.request.system)}: ` +
        `median ${divide(payingOurs?.medianOverIdeal, payingBase?.medianOverIdeal)}, ` +
        `p99 ${divide(payingOurs?.p99OverIdeal, payingBase?.p99OverIdeal)} (paying), ` +
        `wasted messages ${divide(sumWasted(ours), sumWasted(base))}`,
    ];
  });

const isOurs = (run: RunMeasure): boolean => run.request.system.kind === 'toucandyke';

const isSameLoad = (a: RunMeasure, b: RunMeasure): boolean =>
  a.request.scenario.kind === b.request.scenario.kind &&
  a.request.configurationFile === b.request.configurationFile;

const divide = (ours = 0, base = 0): string => (base === 0 ? 'n/a' : (ours / base).toFixed(2));

/** @returns every broken promise of our own runs */
export const formatBroken = (runs: readonly RunMeasure[]): string[] =>
  runs.flatMap((run) => listBrokenPromises(run).map((line) => `Broken: ${line} (${nameMix(run)})`));
