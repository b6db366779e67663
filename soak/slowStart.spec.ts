import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DaemonChild } from '../standins/platform/daemonChild.js';
import { FaultInjector } from './faultInjector.js';
import type { SoakCallers } from './soakCallers.js';
import type { SoakFleet } from './soakFleet.js';

/** Longer than a process takes to start on a calm machine; on an overloaded one, 1.8 s were not enough. */
const slowStartMs = 2_500;
const pollMs = 20;
/** Time in which a process that a signal ends is gone. */
const exitMs = 300;

/** A process that handles SIGHUP late, as one does on an overloaded machine, and ends by the first one that it handles. */
const program = `
setTimeout(() => process.on('SIGHUP', () => process.exit(7)), ${slowStartMs});
setInterval(() => undefined, 1_000);
`;

// Guards against a soak that ends a daemon itself, by SIGHUP before the daemon can handle it (seeds 3001 and 4002).
test('SIGHUP goes to a process only once it has its handler, however long its start takes', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'toucandyke-start-'));
  const path = join(folder, 'program.cjs');
  writeFileSync(path, program);
  const crashes: string[] = [];
  const child = DaemonChild.create({
    ...{ vmId: 'vm-0', ip: '127.0.0.1', zone: 'east', zones: ['east'] },
    ...{ storeAddress: '127.0.0.1:1', shardCount: 1, folder, program: path },
    onCrash: (detail) => crashes.push(detail),
  });
  const fleet = { daemons: [{ child }] } as unknown as SoakFleet;
  const injector = FaultInjector.create(fleet, undefined as unknown as SoakCallers);
  const reload = { kind: 'reload', daemon: 0, signals: 3 } as const;
  await child.start();
  await injector.run([{ atMs: slowStartMs - 700, fault: reload }]);
  await sleep(exitMs);
  assert.equal(crashes, []);
  while (!child.handlesReload) {
    await sleep(pollMs);
  }
  await injector.run([{ atMs: 0, fault: reload }]);
  while (crashes.length === 0) {
    await sleep(pollMs);
  }
  assert.match(crashes[0] ?? '', /code 7/);
  rmSync(folder, { recursive: true });
});

test.run();
