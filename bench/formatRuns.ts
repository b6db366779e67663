/**
 * Formats the measures of runs as tables and lines of text.
 */
import type { RunMeasure } from './measures.js';
import { listViolations } from './measures.js';
import type { SystemKind } from './system.js';

/**
 * @returns the name of a system in tables and plots
 */
export const formatSystemName = (system: SystemKind): string =>
  system.kind === 'toucandyke' ? 'toucandyke' : system.policy;

/**
 * @returns the name of a run's mix: its configuration file without folder and extension
 */
export const formatMixName = ({ request }: RunMeasure): string =>
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
 * Formats the runs as a table, one line each.
 *
 * @param runs - the runs in the order of the table
 * @returns the lines, headings first
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
    formatMixName(run),
    formatSystemName(run.request.system),
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
 * @returns wasted messages of all causes for each 1,000 tasks
 */
export const sumWasted = (run: RunMeasure): number =>
  run.wasted.reduce((sum, { messagesPer1000Tasks }) => sum + messagesPer1000Tasks, 0);

/**
 * Formats the failed requests by class and kind, and the wasted messages by cause.
 *
 * @returns a line for each run with any of them
 */
export const formatCauses = (runs: readonly RunMeasure[]): string[] =>
  runs.flatMap((run) => {
    const failed = run.classes.flatMap(({ callerClass, failures }) =>
      failures.map(({ kind, count }) => `${callerClass} ${kind} ${count}`),
    );
    const wasted = run.wasted.map(
      ({ cause, messagesPer1000Tasks }) => `${cause} ${messagesPer1000Tasks.toFixed(1)}`,
    );
    const name = `${run.request.scenario.kind}, ${formatMixName(run)}, ${formatSystemName(run.request.system)}`;
    return failed.length + wasted.length === 0
      ? []
      : [`${name}: failed ${join(failed)}; wasted messages per 1,000 tasks ${join(wasted)}`];
  });

/** @returns the items separated by commas, or `none` */
const join = (items: readonly string[]): string => (items.length === 0 ? 'none' : items.join(', '));

/**
 * Formats the measures of toucandyke divided by those of each baseline under the same load.
 *
 * @returns a line for each run of a baseline
 */
export const formatRatios = (runs: readonly RunMeasure[]): string[] =>
  runs.flatMap((baselineRun) => {
    const toucandykeRun = runs.find((run) => isToucandyke(run) && isSameLoad(run, baselineRun));
    if (isToucandyke(baselineRun) || toucandykeRun === undefined) {
      return [];
    }
    const [payingToucandyke] = toucandykeRun.classes;
    const [payingBaseline] = baselineRun.classes;
    return [
      `${baselineRun.request.scenario.kind}, ${formatMixName(baselineRun)}: toucandyke over ${formatSystemName(baselineRun.request.system)}: ` +
        `median ${formatQuotient(payingToucandyke?.medianOverIdeal, payingBaseline?.medianOverIdeal)}, ` +
        `p99 ${formatQuotient(payingToucandyke?.p99OverIdeal, payingBaseline?.p99OverIdeal)} (paying), ` +
        `wasted messages ${formatQuotient(sumWasted(toucandykeRun), sumWasted(baselineRun))}`,
    ];
  });

const isToucandyke = (run: RunMeasure): boolean => run.request.system.kind === 'toucandyke';

const isSameLoad = (a: RunMeasure, b: RunMeasure): boolean =>
  a.request.scenario.kind === b.request.scenario.kind &&
  a.request.configurationFile === b.request.configurationFile;

/** @returns `a` divided by `b`, or `n/a` if `b` is 0 */
const formatQuotient = (a = 0, b = 0): string => (b === 0 ? 'n/a' : (a / b).toFixed(2));

/** @returns a line for each kind of violated guarantee of each run of toucandyke */
export const formatViolations = (runs: readonly RunMeasure[]): string[] =>
  runs.flatMap((run) =>
    listViolations(run).map((line) => `Violated: ${line} (${formatMixName(run)})`),
  );
