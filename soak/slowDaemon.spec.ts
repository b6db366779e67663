import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DaemonChild } from '../standins/platform/daemonChild.js';
import { DisruptionLog } from './disruptionLog.js';
import { FaultInjector } from './faultInjector.js';
import type { SoakCallers } from './soakCallers.js';
import type { SoakFleet } from './soakFleet.js';

const pausedMs = 200;
const periodMs = 260;
const durationMs = 1_500;
const pollMs = 20;
/** Time in which a process that runs has written again. */
const nextTickMs = 500;
/** Fewest pauses that a process has noticed, also on an overloaded machine, whose turns are longer. */
const minPauses = 3;

/** A process that writes the time every few milliseconds, as long as it runs. */
const program = `
const fs = require('node:fs');
setInterval(() => fs.writeSync(1, performance.now() + '\\n'), 5);
`;

// Guards against a slow daemon that is paused once for long, which it notices, or that stays paused.
test('a slow daemon is paused in many short pieces, and runs on afterwards', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'toucandyke-slow-'));
  const path = join(folder, 'program.cjs');
  writeFileSync(path, program);
  const child = DaemonChild.create({
    ...{ vmId: 'vm-0', ip: '127.0.0.1', zone: 'east', zones: ['east'] },
    ...{ storeAddress: '127.0.0.1:1', shardCount: 1, folder, program: path },
    onCrash: (detail) => assert.unreachable(detail),
  });
  const readTicks = (): number[] =>
    readFileSync(join(folder, 'vm-0.log'), 'utf8').split('\n').filter(Boolean).map(Number);
  const disruptions = DisruptionLog.create();
  const fleet = { daemons: [{ child }], disruptions } as unknown as SoakFleet;
  const injector = FaultInjector.create(fleet, undefined as unknown as SoakCallers);
  await child.start();
  while (readTicks().length === 0) {
    await sleep(pollMs);
  }
  const slow = { kind: 'slow', daemon: 0, pausedMs, periodMs, durationMs } as const;
  await injector.run([{ atMs: 0, fault: slow }]);
  const ticks = readTicks();
  const gapsMs = ticks.slice(1).map((tick, index) => tick - (ticks[index] ?? 0));
  const pauses = gapsMs.filter((gapMs) => gapMs > pausedMs / 2).length;
  assert.ok(pauses >= minPauses, `${pauses} pauses`);
  await sleep(nextTickMs);
  assert.ok(readTicks().length > ticks.length);
  assert.not.ok(disruptions.wasUndisrupted(0, performance.now(), performance.now()));
  await child.kill();
  rmSync(folder, { recursive: true });
});

test.run();
