import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { chooseContacts, rankContact } from './contacts.js';
import type { RemoteDomainDaemon } from './contacts.js';

const createDomain = (
  failureDomainId: string,
  count: number,
  isReachable: boolean,
  ownAddress = 'own:1',
): RemoteDomainDaemon[] =>
  Array.from({ length: count }, (_, index) => ({
    address: `${failureDomainId}:${index}`,
    failureDomainId,
    rank: rankContact(ownAddress, `${failureDomainId}:${index}`),
    isReachable,
    unansweredHeartbeats: 0,
  }));

test('two daemons of each failure domain are chosen, however many there are', () => {
  const daemons = [...createDomain('a', 10, true), ...createDomain('b', 30, true)];
  const contacts = [...chooseContacts(daemons)];
  assert.is(contacts.filter((address) => address.startsWith('a:')).length, 2);
  assert.is(contacts.filter((address) => address.startsWith('b:')).length, 2);
});

test('if two daemons are reachable, they are chosen and no others are tried', () => {
  const daemons = createDomain('a', 10, false).map((daemon, index) => ({
    ...daemon,
    isReachable: index === 3 || index === 7,
  }));
  assert.equal([...chooseContacts(daemons)].sort(), ['a:3', 'a:7']);
});

test('while a reachable contact is missing, two unreachable daemons are tried', () => {
  const daemons = createDomain('a', 10, false);
  assert.is(chooseContacts(daemons).size, 2);
  const withOne = daemons.map((daemon, index) => ({ ...daemon, isReachable: index === 3 }));
  assert.is(chooseContacts(withOne).size, 3);
});

test('a daemon that did not answer is tried after those that were not tried yet', () => {
  const daemons = createDomain('a', 4, false).map((daemon, index) => ({
    ...daemon,
    unansweredHeartbeats: index < 2 ? 1 : 0,
  }));
  assert.equal([...chooseContacts(daemons)].sort(), ['a:2', 'a:3']);
});

test('the contacts of different daemons are spread over a failure domain', () => {
  const chosen = Array.from({ length: 20 }, (_, index) => [
    ...chooseContacts(createDomain('a', 10, true, `own:${index}`)),
  ]).flat();
  assert.ok(new Set(chosen).size >= 8);
});

test.run();
