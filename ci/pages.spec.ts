import { readFileSync } from 'node:fs';
import { resolve } from 'node:path';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { errorAnswers, errorKindSchema } from '../src/errors/errorKinds.js';

const readPage = (path: string): string =>
  readFileSync(resolve(import.meta.dirname, '..', path), 'utf8');

test('the page for callers lists every error kind with its status, run state and retry advice', () => {
  const page = readPage('docs/CALLERS.md').replace(/ +/g, ' ');
  for (const kind of errorKindSchema.options) {
    const { httpStatus, runState, retry } = errorAnswers[kind];
    assert.ok(
      page.includes(`| \`${kind}\` | ${httpStatus} | \`${runState}\` | \`${retry}\` |`),
      kind,
    );
  }
});

test.run();
