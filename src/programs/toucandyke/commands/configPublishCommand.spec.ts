import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { stringify } from 'yaml';
import { Deployment, operatorToken } from '../../../../standins/deployment.js';
import { SystemClock } from '../../../adapters/system/systemClock.js';
import { configurationRecordSchema } from '../../../types/configuration.js';
import { daemonStatusSchema } from '../../../ports/operators.js';
import { createConfiguration } from '../../../testing/fixtures.js';
import { commandRunner } from '../../../testing/commandRunner.js';
import { ConfigPublishCommand } from './configPublishCommand.js';
import { ConfigShowCommand } from './configShowCommand.js';
import { StatusCommand } from './statusCommand.js';

const run = commandRunner([ConfigPublishCommand, ConfigShowCommand, StatusCommand]);

test('publishes, lists the version of each daemon, and names an unreachable daemon', async () => {
  const failureDomains = ['muenchen', 'augsburg'];
  const deployment = await Deployment.create({
    clock: SystemClock.create(),
    configuration: createConfiguration({ failureDomains, workersPerFailureDomain: 1 }),
    daemonsPerFailureDomain: 2,
  });
  const folder = mkdtempSync(join(tmpdir(), 'toucandyke-'));
  const file = join(folder, 'new.yaml');
  writeFileSync(file, stringify(deployment.fleet.configuration));
  const log = ['--log', deployment.fleet.log.address];
  const addresses = deployment.daemons.map(({ process: daemon }) => daemon.operators.address);
  const access = ['--operators', addresses.join(','), '--token', operatorToken];
  const publish = ['config', 'publish', file, ...log];

  const published = await run(...publish, '--base', '1', '--wait', ...access);
  assert.is(published.exitCode, 0, published.text);
  const lines = published.text.trimEnd().split('\n');
  assert.equal(lines, [
    'VM            FAILURE DOMAIN  VERSION',
    'augsburg-vm1  augsburg        2',
    'augsburg-vm2  augsburg        2',
    'muenchen-vm1  muenchen        2',
    'muenchen-vm2  muenchen        2',
    'Version 2 is published and in force on every daemon.',
  ]);

  const conflict = await run(...publish, '--base', '1');
  assert.is(conflict.exitCode, 3);
  assert.match(conflict.text, /^Conflict: version 2 by /);

  const shown = await run('config', 'show', ...log, '--json');
  assert.is(configurationRecordSchema.parse(JSON.parse(shown.text)).version, 2);

  const status = await run('status', ...access, '--json');
  const { own, peers, endpoints } = daemonStatusSchema.parse(JSON.parse(status.text));
  assert.equal(
    [own, ...peers].map(({ configurationVersion }) => configurationVersion),
    [2, 2, 2, 2],
  );
  assert.match(endpoints[0]?.dispatcher ?? '', /^muenchen-vm/);

  const last = deployment.daemons.at(-1);
  assert.ok(last);
  await last.process.kill();
  const partial = await run(...publish, '--wait', '--wait-seconds', '5', ...access);
  assert.is(partial.exitCode, 4, partial.text);
  assert.match(partial.text, /augsburg-vm2 +- +not heard/);

  deployment.daemons.pop();
  await deployment.close();
  rmSync(folder, { recursive: true });
});

test('rejects options that are not valid before it publishes', async () => {
  const publish = ['config', 'publish', 'examples/verband.yaml', '--log', '127.0.0.1:1'];
  assert.is((await run(...publish, '--base', 'x')).exitCode, 2);
  assert.is((await run(...publish, '--reset')).exitCode, 2);
  assert.is((await run(...publish, '--wait')).exitCode, 2);
});

test.run();
