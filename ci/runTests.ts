/**
 * Runs every `*.spec.ts` below a folder (the first argument, by default the current one) with uvu. Exits
 * with an error also when the process ends before uvu prints its totals.
 */
import { parse } from 'uvu/parse';
import { run } from 'uvu/run';

const testFolder = process.argv[2] ?? '.';
const testPattern = /\.spec\.ts$/;

// Remains the exit code if a test leaves the event loop empty and the process ends before uvu's totals.
process.exitCode = 1;
const context = await parse(testFolder, testPattern, { ignore: ['node_modules', 'dist'] });
await run(context.suites, { bail: false });
