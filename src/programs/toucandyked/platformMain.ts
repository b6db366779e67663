/**
 * The daemon as it is built for the users' platform: `node platformMain.cjs`. With the option
 * `--write-compiled-code` it writes its compiled code when it stops, which the build uses.
 */
import { resolve } from 'node:path';
import { CachedProgram } from './cachedProgram.js';
import { ReloadSignal } from './reloadSignal.js';
import type { runOnPlatform } from './runOnPlatform.js';

const programFile = 'platform.cjs';

const reload = ReloadSignal.create();
const program = CachedProgram.create(resolve(__dirname, programFile));
if (process.argv.includes('--write-compiled-code')) {
  process.once('exit', () => program.writeCompiledCode());
}
const { runOnPlatform: run } = program.run() as { runOnPlatform: typeof runOnPlatform };
void run(reload);
