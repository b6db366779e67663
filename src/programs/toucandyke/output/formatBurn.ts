/**
 * Formats the burn report as text.
 */
import type { ClassBurn } from '../../../report/computeBurn.js';
import { formatTable } from './formatTable.js';

/** The burn of all classes, as it is printed. */
export interface BurnReport {
  readonly classes: readonly ClassBurn[];
  /** One reason for each daemon that did not answer, or the log service; their sums are not included. */
  readonly unheard: readonly string[];
}

const header = ['CLASS', 'TARGET', 'WINDOW', 'JOBS', 'BAD', 'BURN RATE', 'MISSING MINUTES'];

/**
 * Formats the report.
 *
 * @param report - the burn of every class
 * @returns a table, then one line for each class and one for each source that did not answer
 */
export const formatBurn = ({ classes, unheard }: BurnReport): string => {
  const rows = classes.flatMap(toRows);
  const classLines = classes.map(describeClass);
  const failureLines = unheard.map((reason) => `No answer: ${reason}\n`);
  return [formatTable(header, rows), '\n', ...classLines, ...failureLines].join('');
};

/**
 * Formats a burn rate.
 *
 * @param burnRate - the rate, or null without jobs
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
  const budgetText = budgetLeft === null ? 'unknown' : `${(budgetLeft * 100).toFixed(1)} %`;
  const causes = topCauses.map(({ cause, count }) => `${cause} ${count}`).join(', ');
  return `${callerClass}: error budget left ${budgetText}; top causes: ${causes === '' ? 'none' : causes}.\n`;
};
