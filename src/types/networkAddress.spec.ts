import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { ipPortSchema } from './networkAddress.js';

// Guards against addresses that no client can be made for, or that name another host than they seem to.
test('an address is four octets and a port, in their ranges and without leading zeros', () => {
  for (const right of ['10.128.0.9:8080', '0.0.0.0:1', '255.255.255.255:65535']) {
    assert.ok(ipPortSchema.safeParse(right).success, right);
  }
  const wrong = [
    '',
    '10.0.0.1',
    '10.0.0.1:0',
    '10.0.0.1:99999',
    '10.0.0.1:65536',
    '10.0.0.1:080',
    '10.0.0.999:80',
    '10.0.0.01:80',
    '10.0.0:80',
    '10.0.0.1:80:80',
    '10.0.0.1:80/path',
    ' 10.0.0.1:80',
    'host.example:80',
    '[::1]:80',
  ];
  for (const text of wrong) {
    assert.not.ok(ipPortSchema.safeParse(text).success, text);
  }
});

test.run();
