import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { CachedProgram } from './cachedProgram.js';

const source = `
const { basename } = require('node:path');
exports.greet = (name) => 'hello ' + name + ' from ' + basename(__filename);
`;

const withFolder = (run: (folder: string) => void): void => {
  const folder = mkdtempSync(join(tmpdir(), 'toucandyke-program-'));
  run(folder);
  rmSync(folder, { recursive: true });
};

const greet = (program: CachedProgram): unknown =>
  (program.run() as { greet: (name: string) => string }).greet('a');

test('a program runs the same without a code cache and with it', () =>
  withFolder((folder) => {
    const path = join(folder, 'program.cjs');
    writeFileSync(path, source);
    const first = CachedProgram.create(path);
    assert.not.ok(first.usesCodeCache);
    assert.is(greet(first), 'hello a from program.cjs');
    first.writeCodeCache();
    const second = CachedProgram.create(path);
    assert.ok(second.usesCodeCache);
    assert.is(greet(second), 'hello a from program.cjs');
  }));

test('a damaged code cache is not used', () =>
  withFolder((folder) => {
    const path = join(folder, 'program.cjs');
    // V8 ignores the code cache of a source that it has compiled in this process.
    writeFileSync(path, `${source}// another source`);
    writeFileSync(`${path}.cache`, Buffer.alloc(40));
    const program = CachedProgram.create(path);
    assert.not.ok(program.usesCodeCache);
    assert.is(greet(program), 'hello a from program.cjs');
  }));

test.run();
