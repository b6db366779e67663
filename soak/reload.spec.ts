import { execFile } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { promisify } from 'node:util';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { daemonProgram } from '../standins/platform/daemonChild.js';
import { SoakCallers } from './soakCallers.js';
import { SoakFleet } from './soakFleet.js';

const root = resolve(import.meta.dirname, '..');
const startMs = 3_000;
const handlerPollMs = 5;

test('a daemon of the platform lives through SIGHUP at any time, and applies what it can', async () => {
  await promisify(execFile)('npm', ['run', '-s', 'build:platform'], { cwd: root });
  const folder = mkdtempSync(join(tmpdir(), 'toucandyke-reload-'));
  const program = daemonProgram(root);
  const fleet = await SoakFleet.create({ folder, program });
  const [daemon] = fleet.daemons;
  assert.ok(daemon);
  const { child } = daemon;
  // Long before the daemon is ready: as soon as the process handles the signal.
  while (!child.handlesReload) {
    await sleep(handlerPollMs);
  }
  child.reload();
  await sleep(startMs);
  const callers = SoakCallers.create(fleet, 1, 0);
  const running = callers.send(0, callers.createJob(4, 700));
  for (let signal = 0; signal < 5; signal += 1) {
    child.reload();
    await sleep(20);
  }
  child.writeSettings('{"nodeName": "half');
  child.reload();
  await sleep(200);
  child.writeSettings(child.composeSettings({ graceS: 5, cpuShare: 0.5 }));
  const { end } = await running;
  assert.equal(end, { kind: 'answered', status: 200, state: 'completed' });
  await sleep(1_200);
  const log = readFileSync(join(folder, `${child.vmId}.log`), 'utf8');
  assert.match(log, /The settings file is not valid; the settings in force stay\./);
  assert.match(log, /"fields":"stopGraceMs".*Changed settings are in force\./);
  assert.match(log, /"fields":"weight".*Changed settings take effect only after a restart\./);
  const stopped = child.stop();
  child.reload();
  await sleep(100);
  child.reload();
  assert.ok(await stopped, 'ends with status 0');
  assert.equal(fleet.crashes, []);
  await callers.close();
  await fleet.close();
  rmSync(folder, { recursive: true });
});

test.run();
