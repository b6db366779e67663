/**
 * Runs every `*.spec.ts` below a folder (the first argument, by default the current one) with uvu, and
 * prints the failures that `KNOWN-RED.txt` lists. Exits with an error if another test fails, if a listed
 * one passes, or if the process ends before uvu prints its totals.
 */
import { parse } from 'uvu/parse';
import { run } from 'uvu/run';
import { compareWithKnownRed, failedTestsOf, readKnownRed } from './knownRed.js';

const testFolder = process.argv[2] ?? '.';
const testPattern = /\.spec\.ts$/;

// Remains the exit code if a test leaves the event loop empty and the process ends before uvu's totals.
process.exitCode = 1;
const listed = await readKnownRed('KNOWN-RED.txt');
let output = '';
const write = process.stdout.write.bind(process.stdout);
process.stdout.write = (chunk: string | Uint8Array): boolean => {
  output += String(chunk);
  return write(chunk);
};
const context = await parse(testFolder, testPattern, { ignore: ['node_modules', 'dist'] });
await run(context.suites, { bail: false });
const { known, unexpected, stale } = compareWithKnownRed(failedTestsOf(output), listed);
known.forEach((name) => write(`Known red: ${name}\n`));
stale.forEach((name) => write(`Listed in KNOWN-RED.txt, but did not fail: ${name}\n`));
process.exitCode = unexpected.length === 0 && stale.length === 0 ? 0 : 1;
