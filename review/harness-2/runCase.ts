/**
 * Runs the script of a case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
 */
import { join, resolve } from 'node:path';
import { Recorder } from './recorder.js';

const brokenExitCode = 1;
const notRunExitCode = 2;
/** Longest time that a script takes, in milliseconds. */
const maxDurationMs = 115_000;

/** What a script is given. */
export interface CaseContext {
  /** Folder of the repository. */
  readonly root: string;
  readonly recorder: Recorder;
  /** Whether the disruption happens; the environment variable `TROUBLE=0` leaves it out. */
  readonly hasTrouble: boolean;
}

/** What a script has found: a sentence for each time that the rule was broken. */
export type CaseResult = readonly string[];

/**
 * @param name - name of the folder of the case under `review/`
 * @param play - plays the case, and ends what it started
 */
export const runCase = async (
  name: string,
  play: (context: CaseContext) => Promise<CaseResult>,
): Promise<void> => {
  const root = resolve(process.cwd());
  const recorder = Recorder.create(join(root, 'review', name));
  const hasTrouble = process.env.TROUBLE !== '0';
  const timer = setTimeout(() => {
    recorder.say('The case took too long.');
    recorder.close();
    process.exit(notRunExitCode);
  }, maxDurationMs);
  const exitCode = await playSafely(play, { root, recorder, hasTrouble });
  clearTimeout(timer);
  recorder.close();
  process.exit(exitCode);
};

/** @returns the exit code of the script */
const playSafely = async (
  play: (context: CaseContext) => Promise<CaseResult>,
  context: CaseContext,
): Promise<number> => {
  const { recorder } = context;
  try {
    const broken = await play(context);
    broken.slice(0, 20).forEach((sentence) => recorder.say(sentence));
    recorder.say(broken.length === 0 ? 'The rule held.' : `The rule broke ${broken.length} times.`);
    return broken.length === 0 ? 0 : brokenExitCode;
  } catch (error) {
    recorder.say(`The case could not run: ${String(error)}`);
    return notRunExitCode;
  }
};
