/**
 * Writes the report on service-level burn as text.
 */
import type { ClassBurn } from '../../../report/computeBurn.js';
import { formatTable } from './formatTable.js';

export interface BurnReport {
  readonly classes: readonly ClassBurn[];
  /** Why daemons or the log did not answer; what they know is missing. */
  readonly unheard: readonly string[];
}

const header = ['CLASS', 'TARGET', 'WINDOW', 'JOBS', 'BAD', 'BURN RATE', 'MISSING MINUTES'];

/**
 * Writes the report.
 *
 * @param report - the burn of every class
 * @returns a table, the budgets and causes, and who did not answer
 */
export const formatBurn = ({ classes, unheard }: BurnReport): string => {
  const rows = classes.flatMap(toRows);
  const notes = classes.map(describeClass);
  const missing = unheard.map((reason) => `Not heard: ${reason}\n`);
  return [formatTable(header, rows), '\n', ...notes, ...missing].join('');
};

/**
 * Writes a burn rate.
 *
 * @param burnRate - the rate, or nothing without jobs
 */
export const formatRate = (burnRate: number | null): string =>
  burnRate === null ? 'no jobs' : burnRate.toFixed(2);

const toRows = ({ class: callerClass, target, windows }: ClassBurn): string[][] =>
  windows.map(({ window, total, bad, burnRate, missingMinutes }) => [
    callerClass,
    String(target),
    window,
    String(total),
    String(bad),
    formatRate(burnRate),
    String(missingMinutes),
  ]);

const describeClass = ({ class: callerClass, budgetLeft, topCauses }: ClassBurn): string => {
  const left = budgetLeft === null ? 'not known' : `${(budgetLeft * 100).toFixed(1)} %`;
  const causes = topCauses.map(({ cause, count }) => `${cause} ${count}`).join(', ');
  return `${callerClass}: error budget left ${left}; top causes: ${causes === '' ? 'none' : causes}.\n`;
};
