import { execFile } from 'node:child_process';
import { resolve } from 'node:path';
import { promisify } from 'node:util';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { ClientCrowd } from './clientCrowd.js';
import type { CrowdLoad } from './clientCrowd.js';
import { CrowdTarget } from './crowdTarget.js';

const heapMb = 64;
/** Small, so that a small crowd reaches them. */
const clientLimits = {
  unfinishedBodyBytes: 4_194_304,
  openRequestBytes: 4_194_304,
  unreadResponseBytes: 1_048_576,
};
/** Memory of the smallest VM. */
const maxResidentBytes = 210_000_000;
/** Descriptors besides those of the clients: program, log, listeners, the store, the worker. */
const ownDescriptors = 100;

const root = resolve(import.meta.dirname, '..');

test.before(async () => {
  await promisify(execFile)('npm', ['run', '-s', 'build:platform'], { cwd: root });
});

const checkCrowd = async (clients: number, load: CrowdLoad): Promise<void> => {
  const target = await CrowdTarget.create({ heapMb, clientLimits });
  try {
    const crowd = await ClientCrowd.send(target.address, clients, load);
    const isServedBeside = await target.serveOrdinary(1);
    crowd.close();
    const isServedAfter = await target.serveOrdinary(2);
    const { residentBytes, descriptors } = target.peak;
    const seen = `${residentBytes} bytes resident, ${descriptors} descriptors`;
    assert.equal(target.crashes, [], seen);
    assert.ok(residentBytes <= maxResidentBytes, seen);
    assert.ok(descriptors <= clients + ownDescriptors, seen);
    assert.ok(isServedBeside, `an ordinary request beside the crowd; ${seen}`);
    assert.ok(isServedAfter, `an ordinary request after the crowd; ${seen}`);
  } finally {
    await target.close();
  }
};

// Guards against a buffer for each chunk of a body, which takes a hundred times the bytes of the chunk.
test('bodies in chunks of one byte that never end', () =>
  checkCrowd(300, { kind: 'unfinished-body', chunks: 4_000, chunkBytes: 1 }));

// Guards against bodies that are each within the limit, and together are more than the memory.
test('large bodies that never end', () =>
  checkCrowd(700, { kind: 'unfinished-body', chunks: 15, chunkBytes: 16_384 }));

// Guards against pipelined requests that all run at once, and whose responses wait unread.
test('pipelined requests with new job ids whose responses are not read', () =>
  checkCrowd(300, { kind: 'pipelined', requests: 500, hasUsualHeaders: true }));

// Guards against a bound that depends on the headers of ordinary clients.
test('pipelined requests without the usual headers', () =>
  checkCrowd(300, { kind: 'pipelined', requests: 500, hasUsualHeaders: false }));

test.run();
