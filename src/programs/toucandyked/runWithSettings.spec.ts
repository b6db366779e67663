import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

const noticeMs = 1_500;

const settingsOf = (drainGraceMs: number, weight: number): string => `
vmId: vm-1
failureDomainId: east
weight: ${weight}
listen: { callers: '127.91.0.1:7001', operators: '127.91.0.1:7002', peers: '127.91.0.1:7003' }
platform: { logService: '127.91.0.1:7004', vmList: '127.91.0.1:7005' }
tokens: { peers: peers-token-of-a-test, operators: operators-token-of-a-test }
drainGraceMs: ${drainGraceMs}
`;

test('the daemon lives through SIGHUP, applies what it can, and names what needs a restart', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'toucandyke-settings-'));
  const file = join(folder, 'settings.yaml');
  writeFileSync(file, settingsOf(60_000, 1));
  const program = join(import.meta.dirname, 'main.ts');
  const child = spawn(process.execPath, ['--import', 'tsx', program, file]);
  const exited = once(child, 'exit');
  let output = '';
  child.stdout.on('data', (chunk: Buffer) => (output += chunk.toString()));
  while ((await fetch('http://127.91.0.1:7001/livez').catch(() => undefined)) === undefined) {
    assert.is(child.exitCode, null, 'still running');
    await sleep(100);
  }
  for (let signal = 0; signal < 3; signal += 1) {
    child.kill('SIGHUP');
  }
  writeFileSync(file, 'vmId: [');
  child.kill('SIGHUP');
  await sleep(noticeMs);
  writeFileSync(file, settingsOf(100, 2));
  await sleep(noticeMs);
  const stoppedAtMs = performance.now();
  child.kill('SIGTERM');
  child.kill('SIGHUP');
  assert.equal(await exited, [0, null]);
  assert.ok(performance.now() - stoppedAtMs < 10_000, 'the shorter grace period is in force');
  assert.match(output, /The settings file is not valid; the settings in force stay\./);
  assert.match(output, /"fields":"drainGraceMs".*Changed settings are in force\./);
  assert.match(output, /"fields":"weight".*Changed settings take effect only after a restart\./);
  rmSync(folder, { recursive: true });
});

// Guards against a daemon that ends, and does not come back, since it started while its settings were written.
test('a daemon that starts while its settings are written waits for them, and ends if they stay invalid', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'toucandyke-settings-'));
  const file = join(folder, 'settings.yaml');
  writeFileSync(file, '');
  const program = join(import.meta.dirname, 'main.ts');
  const child = spawn(process.execPath, ['--import', 'tsx', program, file]);
  const exited = once(child, 'exit');
  const [line] = (await Promise.race([once(child.stdout, 'data'), exited])) as [unknown];
  assert.match(String(line), /The settings file is not valid; it is read again/);
  writeFileSync(file, settingsOf(100, 1));
  while ((await fetch('http://127.91.0.1:7001/livez').catch(() => undefined)) === undefined) {
    assert.is(child.exitCode, null, 'still running');
    await sleep(100);
  }
  child.kill('SIGTERM');
  assert.equal(await exited, [0, null]);
  writeFileSync(file, 'vmId: [');
  const invalid = spawn(process.execPath, ['--import', 'tsx', program, file]);
  let errors = '';
  invalid.stderr.on('data', (chunk: Buffer) => (errors += chunk.toString()));
  assert.equal(await once(invalid, 'exit'), [2, null]);
  assert.match(errors, /settings\.yaml:\d+:/);
  rmSync(folder, { recursive: true });
});

test.run();
