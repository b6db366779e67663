/**
 * `npm run build:platform`: bundles the daemon for the users' platform into `target/`, lets it serve some
 * load from stand-ins, and keeps the code that was compiled meanwhile beside the bundle.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { build } from 'esbuild';
import type { BuildOptions, Plugin } from 'esbuild';
import { CostFleet } from '../bench/platformCost/costFleet.js';
import { SiteLoad } from '../bench/platformCost/siteLoad.js';
import { daemonProgram } from '../standins/platform/daemonChild.js';

const root = resolve(import.meta.dirname, '..');
const target = join(root, 'target');
const startMs = 2_500;
const loadMs = 4_000;
/** Share of the rate of jobs that the cost bench sends to more daemons. */
const loadFactor = 0.5;

/** Bundles only the connection pool of `undici`, since loading the rest of it takes time at each start. */
const undiciPoolOnly: Plugin = {
  name: 'undici-pool-only',
  setup: (plugin) => {
    plugin.onResolve({ filter: /^undici$/ }, () => ({ path: 'pool', namespace: 'undici' }));
    plugin.onLoad({ filter: /.*/, namespace: 'undici' }, () => ({
      contents: `
        import Pool from './lib/dispatcher/pool.js';
        export { Pool };
      `,
      resolveDir: join(root, 'node_modules/undici'),
    }));
  },
};

const options: BuildOptions = {
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  minifySyntax: true,
  logLevel: 'warning',
  plugins: [undiciPoolOnly],
};

/** Serves jobs with a few daemons, the first of which writes its compiled code when it stops. */
const rehearse = async (): Promise<void> => {
  const folder = mkdtempSync(join(tmpdir(), 'toucandyke-build-'));
  const fleet = await CostFleet.create({
    networkIndex: 61,
    daemons: 4,
    workers: 8,
    routes: 8,
    folder,
    program: daemonProgram(root),
    firstDaemonArguments: { program: ['--write-compiled-code'] },
  });
  await new Promise((done) => setTimeout(done, startMs));
  const load = SiteLoad.create(fleet.daemons.map(({ callersAddress }) => callersAddress));
  await load.run(loadMs, loadFactor);
  await load.close();
  await fleet.close();
  rmSync(folder, { recursive: true });
};

const source = join(root, 'src/programs/toucandyked');
await build({
  ...options,
  entryPoints: [join(source, 'platformMain.ts')],
  outfile: daemonProgram(root),
});
await build({
  ...options,
  entryPoints: [join(source, 'runOnPlatform.ts')],
  outfile: join(target, 'platform.cjs'),
});
if (!process.argv.includes('--no-compiled-code')) {
  try {
    await rehearse();
  } catch (error) {
    // The daemon starts without it, only slower.
    process.stderr.write(`No compiled code could be made: ${String(error)}\n`);
  }
}
