/**
 * Runs every `*.spec.ts` with uvu; a run that ends before its totals fails.
 */
import { parse } from 'uvu/parse';
import { run } from 'uvu/run';

const testFolder = process.argv[2] ?? '.';
const testPattern = /\.spec\.ts$/;

// Stays in force if a test leaves the event loop empty, so that uvu never reaches its totals.
process.exitCode = 1;
const context = await parse(testFolder, testPattern, { ignore: ['node_modules', 'dist'] });
await run(context.suites, { bail: false });
