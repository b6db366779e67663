import * as fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { z } from 'zod';
import { errorKindSchema } from '../../errors/errorKinds.js';
import { DaemonFixture } from '../../testing/daemonFixture.js';
import { createSubmission } from '../../testing/fixtures.js';
import { silentLogger } from '../../testing/silentLogger.js';
import { CallerHttpServer } from './callerHttpServer.js';

const seed = 20_261_204;
const vmId = 'muenchen-vm1';

/** Starts the HTTP server in front of a daemon that uses fakes. */
const startServer = async () => {
  const fixture = await DaemonFixture.create([vmId]);
  const service = fixture.daemon(vmId);
  const server = await CallerHttpServer.create({
    host: '127.0.0.1',
    port: 0,
    service,
    logger: silentLogger,
  });
  return { fixture, service, server, url: `http://${server.address}` };
};

const authorization = 'Bearer counter-token';

const problemSchema = z.object({
  kind: errorKindSchema,
  status: z.number(),
  detail: z.string(),
  runState: z.string(),
});

const readProblem = async (response: Response): Promise<z.infer<typeof problemSchema>> =>
  problemSchema.parse(await response.json());

test('refuses a caller without a valid token', async () => {
  const { server, url } = await startServer();
  const wrong: Record<string, string>[] = [
    {},
    { authorization: 'Bearer other' },
    { authorization: 'Basic x' },
  ];
  for (const headers of wrong) {
    const response = await fetch(`${url}/v1/owner`, { headers });
    assert.is(response.status, 401);
    assert.is((await readProblem(response)).kind, 'unauthorized');
  }
  await server.kill();
});

test('answers a job of another caller like one that does not exist', async () => {
  const { fixture, service, server, url } = await startServer();
  const key = encodeURIComponent(`${service.owner()}~a`);
  const submitted = fetch(`${url}/v1/jobs`, {
    method: 'POST',
    headers: { authorization, 'idempotency-key': `${service.owner()}~a` },
    body: JSON.stringify(createSubmission('fit', [1])),
  });
  while (fixture.endpoints.starts.length === 0) {
    await fixture.clock.flushCallbacks();
  }
  await fixture.clock.advance(1_000);
  assert.is((await submitted).status, 200);
  const headers = { authorization: 'Bearer petshop-token' };
  const theirs = await fetch(`${url}/v1/jobs/${key}`, { headers });
  const absent = await fetch(`${url}/v1/jobs/${key}x`, { headers });
  assert.is(theirs.status, 404);
  assert.equal(await theirs.json(), await absent.json());
  await server.kill();
});

test('answers a respond-async submission with 202, or with the problem of a refused one', async () => {
  const { service, server, url } = await startServer();
  const post = (suffix: string, operation: string) =>
    fetch(`${url}/v1/jobs`, {
      method: 'POST',
      headers: {
        authorization,
        'idempotency-key': `${service.owner()}~${suffix}`,
        prefer: 'respond-async',
      },
      body: JSON.stringify(createSubmission(operation, [1])),
    });
  const accepted = await post('a', 'fit');
  assert.is(accepted.status, 202);
  const refused = await post('b', 'unheard-of');
  assert.is((await readProblem(refused)).kind, 'unknown-operation');
  await server.kill();
});

test('reports the path of an invalid field and that nothing ran', async () => {
  const { service, server, url } = await startServer();
  const response = await fetch(`${url}/v1/jobs`, {
    method: 'POST',
    headers: { authorization, 'idempotency-key': `${service.owner()}~a` },
    body: JSON.stringify({ deadlineMs: 100, tasks: [{ operation: 'fit', input: 1, extra: 2 }] }),
  });
  assert.is(response.status, 400);
  const body = z.object({ where: z.string(), runState: z.string() }).parse(await response.json());
  assert.equal(body, { where: 'tasks[0]', runState: 'not-run' });
  await server.kill();
});

test('refuses bodies that are too large or nested too deeply', async () => {
  const { service, server, url } = await startServer();
  const post = (suffix: string, body: string) =>
    fetch(`${url}/v1/jobs`, {
      method: 'POST',
      headers: { authorization, 'idempotency-key': `${service.owner()}~${suffix}` },
      body,
    });
  assert.is((await post('a', ' '.repeat(1_100_000))).status, 413);
  assert.is((await post('b', '['.repeat(10_000))).status, 400);
  await server.kill();
});

test('answers any malformed request with a problem', async () => {
  const { server, url } = await startServer();
  const requests = fc.record({
    method: fc.constantFrom('GET', 'POST', 'PUT', 'DELETE'),
    path: fc.oneof(
      fc.constantFrom('/v1/jobs', '/v1/lookups', '/v1/owner/x', '/', '/v1/jobs/%ff'),
      fc.webPath(),
    ),
    key: fc.stringMatching(/^[ -~]{0,200}$/),
    body: fc.oneof(fc.json(), fc.string(), fc.constant('{"tasks":[],"deadlineMs":1}')),
  });
  const property = fc.asyncProperty(requests, async ({ method, path, key, body }) => {
    const hasBody = method === 'POST' || method === 'PUT';
    const response = await fetch(`${url}${path.startsWith('/') ? path : `/${path}`}`, {
      method,
      headers: { authorization, 'idempotency-key': key },
      ...(hasBody ? { body } : {}),
    });
    const text = await response.text();
    assert.ok(response.status >= 400 && response.status < 500, `${response.status}: ${text}`);
    assert.ok(problemSchema.safeParse(JSON.parse(text)).success);
    assert.not.match(text, /node_modules|\.ts:/);
  });
  await fc.assert(property, { seed, numRuns: 150 });
  const response = await fetch(`${url}/v1/owner`, { headers: { authorization } });
  assert.is(response.status, 200);
  await server.kill();
});

test.run();
