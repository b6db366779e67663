/**
 * The daemon as it is built for the users' platform: `node target/main.js`. With the option
 * `--write-code-cache` it writes its code cache when it stops, which the build uses.
 */
import { resolve } from 'node:path';
import { CachedProgram } from './cachedProgram.js';
import { ReloadSignal } from './reloadSignal.js';
import type { runOnPlatform } from './runOnPlatform.js';

/** Name of the bundled daemon, beside this program; set by the build. */
declare const PLATFORM_BUNDLE: string;

const reload = ReloadSignal.create();
const program = CachedProgram.create(resolve(import.meta.dirname, PLATFORM_BUNDLE));
if (process.argv.includes('--write-code-cache')) {
  process.once('exit', () => program.writeCodeCache());
}
const { runOnPlatform: run } = program.run() as { runOnPlatform: typeof runOnPlatform };
void run(reload);
