/**
 * Records whole sessions of callers with daemons on fakes, and compares them with golden files.
 */
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import * as assert from 'uvu/assert';
import { CallerHttpServer } from '../adapters/callerHttp/callerHttpServer.js';
import type { CallerService } from '../ports/callers.js';
import type { TaskStart } from '../ports/endpoints.js';
import { DaemonFixture } from './daemonFixture.js';
import { createConfiguration } from './fixtures.js';
import { silentLogger } from './silentLogger.js';

const goldenFolder = resolve(import.meta.dirname, '../../golden');
const stepMs = 50;

/** One request of a caller. */
export interface SessionRequest {
  readonly vmId: string;
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly token: string;
  readonly key?: string;
  readonly body?: unknown;
}

/** Counts the calls that a daemon is working on, so that the clock moves only meanwhile. */
class PendingCalls {
  count = 0;

  async during<T>(call: Promise<T>): Promise<T> {
    this.count += 1;
    try {
      return await call;
    } finally {
      this.count -= 1;
    }
  }
}

export class GoldenSession {
  private readonly lines: string[] = [];

  private constructor(
    readonly fixture: DaemonFixture,
    private readonly servers: ReadonlyMap<string, CallerHttpServer>,
    private readonly pending: PendingCalls,
  ) {
    const { endpoints } = fixture;
    const run = endpoints.behaviour;
    endpoints.behaviour = async (endpoint, start) => {
      this.note(`endpoint ${endpoint.endpointId} <- ${formatStart(start)}`);
      const reply = await run(endpoint, start);
      this.note(`endpoint ${endpoint.endpointId} -> ${start.taskId} ${reply.kind}`);
      return reply;
    };
  }

  /**
   * Starts daemons on fakes behind the real callers' interface, with one endpoint.
   *
   * @param vmIds - the VMs of the daemons
   */
  static async create(vmIds: readonly string[]): Promise<GoldenSession> {
    const configuration = createConfiguration({ workersPerFailureDomain: 1 });
    const fixture = await DaemonFixture.create(vmIds, configuration);
    const servers = new Map<string, CallerHttpServer>();
    const pending = new PendingCalls();
    for (const vmId of vmIds) {
      const service = countCalls(fixture.daemon(vmId), pending);
      const place = { host: '127.0.0.1', port: 0 };
      servers.set(vmId, await CallerHttpServer.create({ ...place, service, logger: silentLogger }));
    }
    return new GoldenSession(fixture, servers, pending);
  }

  /** Adds a line to the record. */
  note(text: string): void {
    this.lines.push(`${this.fixture.clock.nowMs().toFixed(0).padStart(6)} ms  ${text}`);
  }

  /**
   * Sends a request, moves the clock until it is answered, and records both.
   *
   * @param request - the request
   */
  async send(request: SessionRequest): Promise<void> {
    const answer = this.start(request);
    for (let lines = await this.step(answer); ; lines = await this.step(answer)) {
      if (lines !== undefined) {
        this.lines.push(...lines);
        return;
      }
    }
  }

  /** Compares the record with its golden file; `UPDATE_GOLDEN=1` writes it instead. */
  async compare(name: string): Promise<void> {
    await Promise.all([...this.servers.values()].map((server) => server.kill()));
    const file = join(goldenFolder, `${name}.txt`);
    const text = `${this.lines.join('\n')}\n`;
    if (process.env.UPDATE_GOLDEN === '1') {
      writeFileSync(file, text);
    }
    assert.ok(existsSync(file), `${file} is missing.`);
    assert.fixture(text, readFileSync(file, 'utf8'));
  }

  /** Moves the clock one step if a daemon works on the request; gives the answer once it is there. */
  private async step(answer: Promise<string[]>): Promise<string[] | undefined> {
    await this.fixture.clock.settle();
    if (this.pending.count > 0) {
      await this.fixture.clock.advance(stepMs);
    }
    return Promise.race([answer, Promise.resolve(undefined)]);
  }

  private async start(request: SessionRequest): Promise<string[]> {
    const { vmId, method, path, token, key, body } = request;
    const headers: Record<string, string> = { authorization: `Bearer ${token}` };
    if (key !== undefined) {
      headers['idempotency-key'] = key;
    }
    this.note(`caller -> ${vmId}: ${method} ${path}${key === undefined ? '' : ` key ${key}`}`);
    if (body !== undefined) {
      this.note(`  ${JSON.stringify(body)}`);
    }
    const address = this.servers.get(vmId)?.address ?? '';
    const init = { method, headers, ...(body === undefined ? {} : { body: JSON.stringify(body) }) };
    const response = await fetch(`http://${address}${path}`, init);
    const type = response.headers.get('content-type') ?? '';
    return [`  caller <- ${vmId}: ${response.status} ${type}`, `    ${await response.text()}`];
  }
}

const formatStart = ({ taskId, attempt, operation, input }: TaskStart): string =>
  `${taskId} attempt ${attempt}: ${operation} ${JSON.stringify(input)}`;

const countCalls = (service: CallerService, pending: PendingCalls): CallerService => ({
  authenticate: (tokenSha256) => service.authenticate(tokenSha256),
  owner: () => service.owner(),
  isReady: () => service.isReady(),
  submit: (caller, key, body) => pending.during(service.submit(caller, key, body)),
  status: (caller, key, waitMs) => pending.during(service.status(caller, key, waitMs)),
  cancel: (caller, key) => pending.during(service.cancel(caller, key)),
  lookup: (caller, body) => pending.during(service.lookup(caller, body)),
});
