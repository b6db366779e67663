/**
 * Runs a script: writes its record, ends in time, and exits with 0 if the rule held, 1 if it was broken,
 * and 2 if the case could not run.
 */
import { join } from 'node:path';
import { Record } from './record.js';

const maxScriptMs = 110_000;
const heldExitCode = 0;
const brokenExitCode = 1;
const notRunExitCode = 2;

/** What a script found: whether the rule was broken, and in a sentence, how. */
export interface Verdict {
  readonly isBroken: boolean;
  readonly detail: string;
}

/** Whether the script includes its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/**
 * Runs a script from the folder of the repository.
 *
 * @param caseNumber - number of the case, whose folder gets the record
 * @param script - throws if the case could not run
 */
export const runScript = async (
  caseNumber: number,
  script: (record: Record) => Promise<Verdict>,
): Promise<void> => {
  // The daemons end with this process.
  process.once('SIGTERM', () => process.exit(notRunExitCode));
  process.once('SIGINT', () => process.exit(notRunExitCode));
  const record = Record.create(join('review', String(caseNumber), 'record.txt'));
  setTimeout(() => {
    record.write('The script took too long.');
    process.exit(notRunExitCode);
  }, maxScriptMs).unref();
  try {
    const { isBroken, detail } = await script(record);
    record.write(`${isBroken ? 'BROKEN' : 'HELD'}: ${detail}`);
    process.exit(isBroken ? brokenExitCode : heldExitCode);
  } catch (error) {
    record.write(`The case could not run: ${String(error)}`);
    process.exit(notRunExitCode);
  }
};
