import { readFileSync } from 'node:fs';
import { resolve } from 'node:path';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { describeCallerInterface } from './openApi.js';

test('docs/openapi.json is up to date with the schemas', () => {
  const file = resolve(import.meta.dirname, '../../../docs/openapi.json');
  const committed: unknown = JSON.parse(readFileSync(file, 'utf8'));
  assert.equal(committed, JSON.parse(JSON.stringify(describeCallerInterface())));
});

test.run();
