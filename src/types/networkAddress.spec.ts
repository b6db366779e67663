import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { ipPortSchema } from './networkAddress.js';

// Guards against an address that has the right form and throws when it is connected to.
test('only an IPv4 address with a port from 1 to 65,535 is an address', () => {
  for (const address of ['127.0.0.1:1', '10.0.255.7:65535', '0.0.0.0:7000']) {
    assert.ok(ipPortSchema.safeParse(address).success, address);
  }
  for (const address of [
    '127.0.0.1:0',
    '127.0.0.1:65536',
    '127.0.0.1:99999',
    '127.0.0.1:080',
    '127.0.0.1:',
    '127.0.0.1',
    '256.0.0.1:80',
    '10.0.0:80',
    '10.0.0.1:80:90',
    ' 10.0.0.1:80',
    '10.0.0.1:80 ',
    '10.0.0.1:8e1',
    'host:80',
    ':80',
    '',
    'constructor',
    8_080,
    null,
  ]) {
    assert.not.ok(ipPortSchema.safeParse(address).success, String(address));
  }
});

test.run();
