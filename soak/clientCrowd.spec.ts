import { execFile } from 'node:child_process';
import { resolve } from 'node:path';
import { promisify } from 'node:util';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { ClientCrowd } from './clientCrowd.js';
import type { CrowdOptions } from './clientCrowd.js';
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

const checkCrowd = async (options: CrowdOptions): Promise<void> => {
  const target = await CrowdTarget.create({ heapMb, clientLimits });
  try {
    const crowd = await ClientCrowd.send(target.address, options);
    const isServedBeside = await target.serveOrdinary(1);
    crowd.close();
    const isServedAfter = await target.serveOrdinary(2);
    const { residentBytes, descriptors } = target.peak;
    const seen = `${residentBytes} bytes resident, ${descriptors} descriptors`;
    assert.equal(target.crashes, [], seen);
    assert.ok(residentBytes <= maxResidentBytes, seen);
    assert.ok(descriptors <= options.clients + ownDescriptors, seen);
    assert.ok(isServedBeside, `an ordinary request beside the crowd; ${seen}`);
    assert.ok(isServedAfter, `an ordinary request after the crowd; ${seen}`);
  } finally {
    await target.close();
  }
};

// Guards against a buffer for each chunk of a body, which takes a hundred times the bytes of the chunk.
test('bodies in chunks of one byte that never end', () => {
  const body = { chunks: 4_000, chunkBytes: 1, hasRoute: true };
  return checkCrowd({ clients: 300, loads: [{ kind: 'unfinished-body', body }] });
});

// Guards against bodies that are each within the limit, and together are more than the memory.
test('large bodies that never end', () => {
  const body = { chunks: 15, chunkBytes: 16_384, hasRoute: true };
  return checkCrowd({ clients: 700, loads: [{ kind: 'unfinished-body', body }] });
});

// Guards against pipelined requests that all run at once, and whose responses wait unread.
test('pipelined requests with new job ids whose responses are not read', () =>
  checkCrowd({ clients: 300, loads: [{ kind: 'pipelined', shape: 'job', requests: 500 }] }));

// Guards against a bound that depends on the headers of ordinary clients.
test('pipelined requests without the usual headers', () =>
  checkCrowd({ clients: 300, loads: [{ kind: 'pipelined', shape: 'plain-job', requests: 500 }] }));

// Guards against requests that Node.js answers with 400 by itself, thousands in one read of a connection.
test('pipelined requests without a Host header', () =>
  checkCrowd({
    clients: 300,
    loads: [{ kind: 'pipelined', shape: 'without-host', requests: 3_000 }],
  }));

// Guards against requests that Node.js answers with 417 by itself.
test('pipelined requests with an unknown expectation', () =>
  checkCrowd({
    clients: 300,
    loads: [{ kind: 'pipelined', shape: 'unknown-expectation', requests: 1_500 }],
  }));

// Guards against the interim responses that Node.js sends by itself, and that nobody reads.
test('pipelined requests that wait for 100 Continue', () =>
  checkCrowd({
    clients: 300,
    loads: [{ kind: 'pipelined', shape: 'job-with-continue', requests: 500 }],
  }));

// Guards against requests that are counted only if their path has a route.
test('pipelined requests at paths that no route has', () =>
  checkCrowd({
    clients: 300,
    loads: [{ kind: 'pipelined', shape: 'unknown-path', requests: 500 }],
  }));

// Guards against limits that count open requests only, of which there are few if each is refused at once.
test('pipelined requests that are refused at once', () =>
  checkCrowd({
    clients: 300,
    loads: [{ kind: 'pipelined', shape: 'invalid-job', requests: 1_500 }],
  }));

// Guards against a body within the limit on its size that takes hundreds of times its size to be refused.
test('large bodies in which every part is invalid', () =>
  checkCrowd({
    clients: 50,
    loads: [{ kind: 'pipelined', shape: 'large-invalid-job', requests: 1 }],
  }));

// Guards against a limit on requests for another protocol that differs from that on others.
test('pipelined requests for another protocol', () =>
  checkCrowd({ clients: 300, loads: [{ kind: 'pipelined', shape: 'upgrade', requests: 1_000 }] }));

// Guards against bodies within the limit on their bytes, whose chunks each take a call of the parser.
test('bodies in very many chunks of one byte, also where none is needed', () => {
  const body = { chunks: 40_000, chunkBytes: 1 };
  return checkCrowd({
    clients: 300,
    loads: [
      { kind: 'unfinished-body', body: { ...body, hasRoute: true } },
      { kind: 'unfinished-body', body: { ...body, hasRoute: false } },
      { kind: 'unfinished-body', body: { ...body, hasRoute: true, method: 'DELETE' } },
    ],
  });
});

// Guards against the chunks of a body that are kept after its connection was closed for too many requests.
test('one open request more than is allowed, with a body in chunks of one byte', () => {
  const body = { chunks: 10_000, chunkBytes: 1, hasRoute: true };
  return checkCrowd({
    clients: 300,
    loads: [{ kind: 'unfinished-body', body, jobsBefore: 8 }],
  });
});

// Guards against the body of an answered request that is kept while an earlier request of its connection is open.
test('an open request, then one that is refused at once, with a body in chunks of one byte', () => {
  const body = { chunks: 10_000, chunkBytes: 1, hasRoute: false };
  return checkCrowd({
    clients: 300,
    loads: [{ kind: 'unfinished-body', body, jobsBefore: 1 }],
  });
});

// Guards against messages after which Node.js closes the connection, behind requests that are still open or answered.
test('messages that cannot be parsed, behind pipelined requests, on one connection after the other', () => {
  const messages = ['malformed', 'long-head', 'long-chunk-extension', 'connect'] as const;
  const shapes = ['job', 'without-host'] as const;
  const loads = messages.flatMap((message) =>
    shapes.map((shape) => ({ kind: 'invalid', message, shape, requestsBefore: 400 }) as const),
  );
  return checkCrowd({ clients: 304, loads, reconnects: true });
});

// Guards against limits that hold for one kind of client at a time, and for clients that stay away when they are closed.
test('several kinds of clients that connect again when they are closed', () => {
  const small = { chunks: 4_000, chunkBytes: 1, hasRoute: true };
  const large = { chunks: 15, chunkBytes: 16_384, hasRoute: true };
  return checkCrowd({
    clients: 300,
    loads: [
      { kind: 'pipelined', shape: 'without-host', requests: 3_000 },
      { kind: 'pipelined', shape: 'job', requests: 500 },
      { kind: 'unfinished-body', body: small },
      { kind: 'unfinished-body', body: large },
    ],
    reconnects: true,
  });
});

test.run();
