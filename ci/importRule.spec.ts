import { resolve } from 'node:path';
import { ESLint } from 'eslint';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

const root = resolve(import.meta.dirname, '..');
const decisionFile = resolve(root, 'src/jobs/jobRunner.ts');
const adapterFile = resolve(root, 'src/adapters/http/requestJson.ts');

const portFile = resolve(root, 'src/ports/jobs.ts');
const typesFile = resolve(root, 'src/types/fleet.ts');
const platformFile = resolve(root, 'platform/storeClient.ts');

/** @returns how many violations of the import rules the linter reports for one line in a file */
const countViolations = async (file: string, line: string): Promise<number> => {
  const eslint = new ESLint({ cwd: root });
  const [result] = await eslint.lintText(`${line}\n`, { filePath: file });
  const messages = result?.messages ?? [];
  return messages.filter(({ ruleId }) => ruleId === 'no-restricted-imports').length;
};

test('the linter rejects imports across layer boundaries and allows the others', async () => {
  assert.is(await countViolations(decisionFile, "import '../adapters/system/systemClock.js';"), 1);
  assert.is(await countViolations(decisionFile, "import 'undici';"), 1);
  assert.is(await countViolations(decisionFile, "import 'node:http';"), 1);
  assert.is(await countViolations(decisionFile, "import '../../platform/storeClient.js';"), 1);
  assert.is(await countViolations(adapterFile, "import '../../../platform/storeClient.js';"), 1);
  assert.is(await countViolations(platformFile, "import '../src/dispatch/dispatcher.js';"), 1);
  assert.is(await countViolations(platformFile, "import '../src/ports/workers.js';"), 0);
  assert.is(await countViolations(decisionFile, "import '../ports/clock.js';"), 0);
  assert.is(await countViolations(adapterFile, "import 'undici';"), 0);
  assert.is(await countViolations(portFile, "import '../types/routing.js';"), 0);
  assert.is(await countViolations(portFile, "import '../routing/routeTable.js';"), 1);
  assert.is(await countViolations(portFile, "import 'undici';"), 1);
  assert.is(await countViolations(typesFile, "import './routing.js';"), 0);
  assert.is(await countViolations(typesFile, "import '../dispatch/capacityProfile.js';"), 1);
});

test.run();
