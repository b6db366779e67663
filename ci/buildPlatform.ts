/**
 * `npm run build:platform`: bundles the daemon for the users' platform into `target/`, and has
 * `ci/warmUpPlatform.ts` make V8's code cache beside the bundle. The build succeeds without the
 * cache, too.
 */
import { spawnSync } from 'node:child_process';
import { createHash } from 'node:crypto';
import { mkdirSync, readdirSync, rmSync, writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { build } from 'esbuild';
import type { BuildOptions, Plugin } from 'esbuild';
import { daemonProgram } from '../standins/platform/daemonChild.js';

const root = resolve(import.meta.dirname, '..');
const target = join(root, 'target');
const source = join(root, 'src/programs/toucandyked');
const warmUpTimeoutMs = 90_000;
/** Digits of the hash in the name of the bundle. */
const hashDigits = 16;

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

/**
 * Bundles the daemon. The name of the bundle has a hash of its content, so that the code cache, which
 * is found by that name, is never used with another bundle.
 *
 * @returns the name of the file in `target/`
 */
const bundleDaemon = async (): Promise<string> => {
  const entryPoints = [join(source, 'runOnPlatform.ts')];
  const { outputFiles } = await build({ ...options, entryPoints, outdir: target, write: false });
  const [bundle] = outputFiles;
  if (bundle === undefined) {
    throw new Error('The bundler returned no file.');
  }
  const hash = createHash('sha256').update(bundle.contents).digest('hex').slice(0, hashDigits);
  const name = `platform-${hash}.cjs`;
  writeFileSync(join(target, name), bundle.contents);
  return name;
};

/** Removes the bundles of earlier builds and their code caches. */
const removeOtherBundles = (name: string): void =>
  readdirSync(target)
    .filter((file) => file.startsWith('platform') && !file.startsWith(name))
    .forEach((file) => rmSync(join(target, file)));

mkdirSync(target, { recursive: true });
const bundleName = await bundleDaemon();
await build({
  ...options,
  format: 'esm',
  entryPoints: [join(source, 'platformMain.ts')],
  define: { PLATFORM_BUNDLE: JSON.stringify(bundleName) },
  outfile: daemonProgram(root),
});
removeOtherBundles(bundleName);
const warmUp = spawnSync(
  process.execPath,
  ['--import', 'tsx', join(root, 'ci/warmUpPlatform.ts')],
  { cwd: root, timeout: warmUpTimeoutMs, stdio: ['ignore', 'ignore', 'pipe'] },
);
if (warmUp.status !== 0) {
  process.stderr.write(`Built without a code cache: ${warmUp.stderr.toString()}\n`);
}
