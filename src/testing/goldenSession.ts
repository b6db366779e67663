/**
 * Records what callers send over HTTP to daemons on fakes and what they and the endpoints receive, and
 * compares the transcript with a golden file.
 */
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import * as assert from 'uvu/assert';
import { CallerHttpServer } from '../adapters/callerHttp/callerHttpServer.js';
import type { HttpServer } from '../adapters/http/httpServer.js';
import type { CallerService } from '../ports/callers.js';
import type { TaskStart } from '../ports/endpoints.js';
import { DaemonFixture } from './daemonFixture.js';
import { createConfiguration } from './fixtures.js';
import { silentLogger } from './silentLogger.js';

const goldenFolder = resolve(import.meta.dirname, '../../golden');
/** Time by which the clock advances while a request waits for a daemon. */
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

/** Counts the calls that daemons are serving: the clock advances only while there is one. */
class PendingCalls {
  count = 0;

  /** Counts a call until it ends. */
  async track<T>(call: Promise<T>): Promise<T> {
    this.count += 1;
    try {
      return await call;
    } finally {
      this.count -= 1;
    }
  }
}

export class GoldenSession {
  /** The transcript. */
  private readonly lines: string[] = [];

  private constructor(
    readonly fixture: DaemonFixture,
    private readonly servers: ReadonlyMap<string, HttpServer>,
    private readonly pending: PendingCalls,
  ) {
    const { endpoints } = fixture;
    const runTask = endpoints.behaviour;
    endpoints.behaviour = async (endpoint, start) => {
      this.addLine(`endpoint ${endpoint.endpointId} <- ${formatStart(start)}`);
      const reply = await runTask(endpoint, start);
      this.addLine(`endpoint ${endpoint.endpointId} -> ${start.taskId} ${reply.kind}`);
      return reply;
    };
  }

  /**
   * Starts daemons on fakes, each behind a real HTTP server for callers, with one endpoint.
   *
   * @param vmIds - ids of the VMs, as for `DaemonFixture.create`
   */
  static async create(vmIds: readonly string[]): Promise<GoldenSession> {
    const configuration = createConfiguration({ workersPerFailureDomain: 1 });
    const fixture = await DaemonFixture.create(vmIds, configuration);
    const servers = new Map<string, HttpServer>();
    const pending = new PendingCalls();
    for (const vmId of vmIds) {
      const service = trackCalls(fixture.daemon(vmId), pending);
      const listen = { host: '127.0.0.1', port: 0 };
      servers.set(
        vmId,
        await CallerHttpServer.create({ ...listen, service, logger: silentLogger }),
      );
    }
    return new GoldenSession(fixture, servers, pending);
  }

  /** Adds a line with the time of the fake clock to the transcript. */
  addLine(text: string): void {
    this.lines.push(`${this.fixture.clock.nowMs().toFixed(0).padStart(6)} ms  ${text}`);
  }

  /**
   * Sends a request, advances the clock until it is answered, and records both.
   */
  async send(request: SessionRequest): Promise<void> {
    const answer = this.start(request);
    for (let lines = await this.advanceOnce(answer); ; lines = await this.advanceOnce(answer)) {
      if (lines !== undefined) {
        this.lines.push(...lines);
        return;
      }
    }
  }

  /**
   * Compares the transcript with a golden file. `UPDATE_GOLDEN=1` writes the file first.
   *
   * @param name - name of the file without its extension
   */
  async compareWithGolden(name: string): Promise<void> {
    await Promise.all([...this.servers.values()].map((server) => server.kill()));
    const file = join(goldenFolder, `${name}.txt`);
    const text = `${this.lines.join('\n')}\n`;
    if (process.env.UPDATE_GOLDEN === '1') {
      writeFileSync(file, text);
    }
    assert.ok(existsSync(file), `${file} is missing.`);
    assert.fixture(text, readFileSync(file, 'utf8'));
  }

  /** Advances the clock by a step if a daemon serves the request; returns its answer if there is one. */
  private async advanceOnce(answer: Promise<string[]>): Promise<string[] | undefined> {
    await this.fixture.clock.flushCallbacks();
    if (this.pending.count > 0) {
      await this.fixture.clock.advance(stepMs);
    }
    return Promise.race([answer, Promise.resolve(undefined)]);
  }

  /** @returns the lines that record the answer */
  private async start(request: SessionRequest): Promise<string[]> {
    const { vmId, method, path, token, key, body } = request;
    const headers: Record<string, string> = { authorization: `Bearer ${token}` };
    if (key !== undefined) {
      headers['idempotency-key'] = key;
    }
    this.addLine(`caller -> ${vmId}: ${method} ${path}${key === undefined ? '' : ` key ${key}`}`);
    if (body !== undefined) {
      this.addLine(`  ${JSON.stringify(body)}`);
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

/** Wraps a service so that its asynchronous calls are counted as pending. */
const trackCalls = (service: CallerService, pending: PendingCalls): CallerService => ({
  authenticate: (tokenSha256) => service.authenticate(tokenSha256),
  owner: () => service.owner(),
  isReady: () => service.isReady(),
  submit: (caller, key, body) => pending.track(service.submit(caller, key, body)),
  status: (caller, key, waitMs) => pending.track(service.status(caller, key, waitMs)),
  cancel: (caller, key) => pending.track(service.cancel(caller, key)),
  lookup: (caller, body) => pending.track(service.lookup(caller, body)),
});
