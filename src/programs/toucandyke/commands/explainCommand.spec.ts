import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { Deployment, operatorToken } from '../../../../standins/deployment.js';
import { CallerHttpClient } from '../../../adapters/callerHttp/callerHttpClient.js';
import { SystemClock } from '../../../adapters/system/systemClock.js';
import { readYamlFile } from '../../../adapters/yaml/readYamlFile.js';
import { checkConfiguration } from '../../../configuration/checkConfiguration.js';
import { commandRunner } from '../../../testing/commandRunner.js';
import { DrainCommand } from './drainCommand.js';
import { ExplainCommand } from './explainCommand.js';

const run = commandRunner([ExplainCommand, DrainCommand]);

test('explains a job from the traces of all daemons, names daemons that do not answer, and drains one', async () => {
  const configuration = readYamlFile('examples/verband.yaml', checkConfiguration).unwrap();
  const clock = SystemClock.create();
  const deployment = await Deployment.create({ clock, configuration, daemonsPerFailureDomain: 1 });
  const [first] = deployment.daemons;
  assert.ok(first);
  const client = CallerHttpClient.create(
    first.process.callers.address,
    'counter-muenchen-example-token',
  );
  const signal = AbortSignal.timeout(10_000);
  const key = `${(await client.owner(signal)) ?? ''}~a`;
  const tasks = [{ operation: 'fit', input: { number: 1 } }];
  assert.is((await client.submit(key, { deadlineMs: 5_000, tasks }, signal)).kind, 'complete');
  await client.close();

  const addresses = deployment.daemons.map(({ process: daemon }) => daemon.operators.address);
  const operators = [...addresses, '127.0.0.1:1'].join(',');
  const access = ['--operators', operators, '--token', operatorToken];
  const explained = await run('explain', key, ...access);
  assert.is(explained.exitCode, 0, explained.text);
  assert.match(explained.text, /^No answer from 127\.0\.0\.1:1/);
  assert.match(explained.text, /Task 0 was done by \S+ in \d+ ms\.\n/);
  assert.match(explained.text, /The whole answer was given\.\n/);
  assert.is((await run('explain', 'unheard-of', ...access)).exitCode, 1);

  const operator = ['--operator', first.process.operators.address];
  assert.is((await run('drain', ...operator, '--token', operatorToken)).exitCode, 0);
  assert.not.ok(first.process.daemon.isReady());
  assert.is((await run('drain', ...operator, '--token', 'wrong')).exitCode, 1);
  await deployment.close();
});

test.run();
