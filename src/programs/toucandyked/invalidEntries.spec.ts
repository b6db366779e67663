import { setTimeout as sleep } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { PlatformFixture } from '../../../standins/platform/platformFixture.js';

const readPeriodsMs = 2_300;

// Guards against an invalid entry of another writer that ends the daemon or takes the workers out of service.
test('invalid entries beside good ones leave the daemon and its workers in service', async () => {
  const lines: string[] = [];
  const fixture = await PlatformFixture.create({
    daemons: ['east'],
    workers: ['east', 'east'],
    writeLog: (line) => void lines.push(line),
  });
  try {
    const [daemon] = fixture.daemons;
    const [known, other] = fixture.workers;
    assert.ok(daemon && known && other);
    const right = JSON.parse(other.composeEntry().toString()) as object;
    const publish = (key: string, fields: object): void =>
      fixture.publishRawEntry(key, Buffer.from(JSON.stringify({ ...right, ...fields })));
    const withText = (key: string, name: string, json: string): void =>
      fixture.publishRawEntry(
        key,
        Buffer.from(`${JSON.stringify(right).slice(0, -1)},"${name}":${json}}`),
      );
    publish('i-port', { address: '127.0.0.1:99999' });
    publish('i-octet', { address: '127.0.0.999:80' });
    publish(known.workerId, { address: '127.0.0.1:99999' });
    withText('i-deep', 'extra', `${'['.repeat(100_000)}${']'.repeat(100_000)}`);
    withText('i-large', 'born', '1e400');
    publish('', {});
    await sleep(readPeriodsMs);
    const answer = await fixture.submit(daemon, '00000000000000a1', { tasks: 4, runMs: 60 });
    assert.equal(answer.body, { state: 'completed' });
    assert.ok(known.starts.length > 0 && other.starts.length > 0);
    const skipped = ['i-port', 'i-octet', 'i-deep', 'i-large', known.workerId];
    for (const key of skipped) {
      assert.ok(lines.some((line) => line.includes('not valid') && line.includes(`"${key}"`)));
    }
  } finally {
    await fixture.close();
  }
});

test.run();
