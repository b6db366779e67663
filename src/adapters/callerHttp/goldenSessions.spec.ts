import { test } from 'uvu';
import { GoldenSession } from '../../testing/goldenSession.js';
import { createSubmission } from '../../testing/fixtures.js';

const token = 'counter-token';
const path = '/v1/jobs';

test('submits a job and reads its answer again', async () => {
  const vmId = 'muenchen-vm1';
  const session = await GoldenSession.create([vmId]);
  const key = `${session.fixture.daemon(vmId).owner()}~order-1`;
  const body = createSubmission('fit', [
    { girthCm: 61, backCm: 48 },
    { girthCm: 30, backCm: 22 },
  ]);
  await session.send({ vmId, method: 'GET', path: '/v1/owner', token });
  await session.send({ vmId, method: 'POST', path, token, key, body });
  await session.send({ vmId, method: 'GET', path: `${path}/${encodeURIComponent(key)}`, token });
  await session.compareWithGolden('jobAnswered');
});

test('refuses a job, and a corrected job under the same key', async () => {
  const vmId = 'muenchen-vm1';
  const session = await GoldenSession.create([vmId]);
  const key = `${session.fixture.daemon(vmId).owner()}~order-1`;
  const body = createSubmission('embroider', [1]);
  await session.send({ vmId, method: 'POST', path, token, key, body });
  await session.send({ vmId, method: 'POST', path, token, key, body });
  const corrected = createSubmission('fit', [1]);
  await session.send({ vmId, method: 'POST', path, token, key, body: corrected });
  await session.compareWithGolden('jobRefused');
});

test('attaches a resubmission to its job through another daemon, but not another caller with that key', async () => {
  const session = await GoldenSession.create(['muenchen-vm1', 'muenchen-vm2']);
  const key = `${session.fixture.daemon('muenchen-vm1').owner()}~order-1`;
  const body = createSubmission('fit', [{ girthCm: 61, backCm: 48 }]);
  await session.send({ vmId: 'muenchen-vm1', method: 'POST', path, token, key, body });
  await session.send({ vmId: 'muenchen-vm2', method: 'POST', path, token, key, body });
  await session.send({
    vmId: 'muenchen-vm2',
    method: 'POST',
    path,
    token: 'petshop-token',
    key,
    body,
  });
  await session.compareWithGolden('resubmissionAttached');
});

test.run();
