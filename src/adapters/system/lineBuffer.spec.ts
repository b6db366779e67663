import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { LineBuffer } from './lineBuffer.js';

const withFile = (run: (fd: number, read: () => string) => void): void => {
  const folder = mkdtempSync(join(tmpdir(), 'toucandyke-'));
  const path = join(folder, 'log');
  const fd = openSync(path, 'w');
  try {
    run(fd, () => readFileSync(path, 'utf8'));
  } finally {
    closeSync(fd);
    rmSync(folder, { recursive: true });
  }
};

test('writes lines in order when the buffer is closed', () =>
  withFile((fd, read) => {
    const buffer = LineBuffer.create(fd);
    buffer.add('one');
    buffer.add('two');
    buffer.close();
    assert.is(read(), 'one\ntwo\n');
  }));

test('drops and counts lines that exceed the buffer size', () =>
  withFile((fd, read) => {
    const buffer = LineBuffer.create(fd);
    const line = 'x'.repeat(1_000);
    for (let i = 0; i < 600; i += 1) {
      buffer.add(line);
    }
    assert.is(buffer.readAndResetDroppedCount(), 0);
    buffer.close();
    const dropped = buffer.readAndResetDroppedCount();
    assert.is(read().split('\n').length - 1 + dropped, 600);
    assert.ok(dropped > 0);
    assert.is(buffer.readAndResetDroppedCount(), 0);
  }));

test.run();
