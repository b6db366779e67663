import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { checkSettings } from '../../config/checkSettings.js';
import { checkConfiguration } from '../../configuration/checkConfiguration.js';
import { formatFault, readYamlFile } from './readYamlFile.js';

const examples = resolve(import.meta.dirname, '../../../examples');
const folder = mkdtempSync(join(tmpdir(), 'toucandyke-'));

/** Replaces a text in an example file and returns the faults that result, formatted. */
const checkChanged = (name: string, from: string, to: string): string[] => {
  const text = readFileSync(join(examples, name), 'utf8');
  assert.ok(text.includes(from), `${name} has no ${from}`);
  const file = join(folder, name);
  writeFileSync(file, text.replace(from, to));
  const check = name === 'daemon.yaml' ? checkSettings : checkConfiguration;
  const checked = readYamlFile<unknown>(file, check);
  return checked.isErr() ? checked.error.map((fault) => formatFault(name, fault)) : [];
};

test.after(() => rmSync(folder, { recursive: true }));

test('the examples are valid', () => {
  for (const name of ['verband.yaml', 'quiosco.yaml']) {
    assert.ok(readYamlFile(join(examples, name), checkConfiguration).isOk(), name);
  }
  assert.ok(readYamlFile(join(examples, 'daemon.yaml'), checkSettings).isOk());
});

test('reports line, path and a hint for a reference to an unknown rack', () => {
  const faults = checkChanged(
    'verband.yaml',
    'rackId: muenchen-r2, failure',
    'rackId: other, failure',
  );
  assert.is(faults.length, 2);
  assert.match(
    faults[0] ?? '',
    /^verband\.yaml:98: inventory\.workers\[8\]\.rackId: There is no rack/,
  );
  assert.match(faults[0] ?? '', 'mend the name');
});

test('reports unknown fields, wrong types and duplicate names', () => {
  const unknown = checkChanged('verband.yaml', '  objective:', '  colour: red\n  objective:');
  assert.match(unknown.join('\n'), /rules: Unrecognized key: "colour"/);
  const type = checkChanged('quiosco.yaml', 'maxQueueMs: 10000', 'maxQueueMs: soon');
  assert.match(type.join('\n'), /rules\.maxQueueMs: Invalid input/);
  const twice = checkChanged(
    'quiosco.yaml',
    'callerId: brassband-gijon',
    'callerId: townhall-bilbao',
  );
  assert.match(twice.join('\n'), /callers\[1\]\.callerId: townhall-bilbao stands twice/);
});

test('rejects invalid YAML and missing files', () => {
  const broken = checkChanged('daemon.yaml', 'listen:', 'listen: [');
  assert.match(broken.join('\n'), /^daemon\.yaml:\d+:/);
  const missing = readYamlFile(join(folder, 'none.yaml'), checkSettings);
  assert.ok(missing.isErr());
});

test('rejects a settings file with a short token or without a platform', () => {
  assert.match(
    checkChanged('daemon.yaml', 'example-token-of-the-peers', 'short').join('\n'),
    /tokens\.peers: expected at least 16 characters/,
  );
  assert.match(checkChanged('daemon.yaml', 'platform:', 'plattform:').join('\n'), /platform/);
});

test.run();
