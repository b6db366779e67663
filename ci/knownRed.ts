/**
 * The tests that may fail: those that `KNOWN-RED.txt` lists, each for a fault that is known and not fixed.
 */
import { readFile } from 'node:fs/promises';
import { stripVTControlCharacters } from 'node:util';
import { parse } from 'yaml';
import { z } from 'zod';

const failurePattern = /^\s*FAIL\s.*?"(.+)"\s*$/;

const knownRedSchema = z
  .array(
    z.object({
      /** Name of the test. */
      test: z.string(),
      /** Command that runs it, with its seed. */
      command: z.string(),
      /** What was seen. */
      seen: z.string(),
      issue: z.number().int(),
    }),
  )
  .nullable();

/**
 * Reads the list of known failures.
 *
 * @param path - a YAML file with a list of entries; it may be empty or missing
 * @returns names of the tests that may fail
 */
export const readKnownRed = async (path: string): Promise<string[]> => {
  const text = await readFile(path, 'utf8').catch(() => '');
  return (knownRedSchema.parse(parse(text)) ?? []).map(({ test }) => test);
};

/** @returns names of the tests that failed, from the output of uvu */
export const failedTestsOf = (output: string): string[] =>
  stripVTControlCharacters(output)
    .split('\n')
    .flatMap((line) => failurePattern.exec(line)?.[1] ?? []);

/** How a run of the tests compares with the list of known failures. */
export interface RedComparison {
  /** Listed tests that failed. */
  readonly known: readonly string[];
  /** Failed tests that are not listed. */
  readonly unexpected: readonly string[];
  /** Listed tests that passed; their entries have to be removed. */
  readonly stale: readonly string[];
}

export const compareWithKnownRed = (
  failed: readonly string[],
  listed: readonly string[],
): RedComparison => ({
  known: failed.filter((test) => listed.includes(test)),
  unexpected: failed.filter((test) => !listed.includes(test)),
  stale: listed.filter((test) => !failed.includes(test)),
});
