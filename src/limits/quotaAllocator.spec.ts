import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { ConfigurationStore } from '../configuration/configurationStore.js';
import { TaskQueue } from '../queue/taskQueue.js';
import { FakeClock } from '../testing/fakeClock.js';
import { createConfiguration, createRecord } from '../testing/fixtures.js';
import { QuotaAllocator } from './quotaAllocator.js';
import { computeShare, findSharePosition } from './quotaShares.js';
import type { DomainMembers } from '../types/limits.js';

const teamId = 'counter-team';

test('reduces a share at once and enlarges it only under a stable membership', async () => {
  const clock = FakeClock.create();
  const queue = TaskQueue.create(clock);
  let members: DomainMembers = { vmIds: ['vm1', 'vm2'], isFullyReachable: true };
  const configuration = createConfiguration();
  configuration.rules.quotas = [{ teamId, startsPerS: 60, slots: 12 }];
  const store = ConfigurationStore.create();
  store.apply(createRecord(1, configuration));
  assert.ok(store.current);
  const allocator = QuotaAllocator.create({
    incarnation: 'one',
    vmId: 'vm1',
    failureDomainId: 'muenchen',
    clock,
    queue,
    members: () => members,
  });
  const slots = () => queue.quotas.limiter.limitOf(teamId)?.slots;
  allocator.apply(store.current);
  assert.is(slots(), 0, 'a new daemon has no share');
  await clock.advance(3_500);
  assert.is(slots(), 0);
  await clock.advance(1_000);
  assert.is(slots(), 6);
  members = { vmIds: ['vm1', 'vm2', 'vm3'], isFullyReachable: true };
  await clock.advance(500);
  assert.is(slots(), 4, 'a third daemon is known');
  members = { vmIds: ['vm1'], isFullyReachable: false };
  await clock.advance(60_000);
  assert.is(slots(), 4, 'a listed daemon is unreachable');
  members = { vmIds: ['vm1'], isFullyReachable: true };
  await clock.advance(3_500);
  assert.is(slots(), 4);
  await clock.advance(1_500);
  assert.is(slots(), 12);
  await allocator.close();
  await queue.close();
});

test('splits a quota without remainder, in smaller shares where stopped daemons still count', () => {
  const quota = { teamId, startsPerS: 10, slots: 7 };
  const failureDomainIds = ['a', 'b', 'c'];
  const sum = (vmIds: readonly string[], isRunning: (vmId: string) => boolean) =>
    failureDomainIds
      .flatMap((failureDomainId) =>
        vmIds
          .filter(isRunning)
          .map((vmId) =>
            computeShare(
              quota,
              findSharePosition({ failureDomainIds, failureDomainId, vmIds, vmId }),
            ),
          ),
      )
      .reduce((slots, share) => slots + share.slots, 0);
  assert.is(
    sum(['x', 'y'], () => true),
    7,
  );
  assert.is(
    sum(['v', 'w', 'x', 'y', 'z'], () => true),
    7,
  );
  assert.ok(sum(['w', 'x', 'y'], (vmId) => vmId !== 'w') <= 7);
});

test.run();
