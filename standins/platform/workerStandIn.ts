/**
 * Stands in for a worker of the platform: runs tasks under leases, and keeps their ends until they are
 * acknowledged.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { HttpServer } from '../../src/adapters/http/httpServer.js';
import { readJsonBody } from '../../src/adapters/http/readJsonBody.js';
import { sendJson } from '../../src/adapters/http/sendJson.js';
import { listenOnLoopback } from './listenOnLoopback.js';
import type { EndRow, StandInEnd, StandInRun, StandInSpec, StartRecord } from './standInRun.js';

const maxConnections = 64;
const maxBodyBytes = 65_536;
const maxLeaseMs = 1_000;
const leaseCheckMs = 10;

/** What is wrong with the worker. */
export type WorkerFault =
  | { readonly kind: 'none' }
  /** It takes orders and never answers. */
  | { readonly kind: 'mute' }
  /** It answers nothing and gets nothing, and runs on. */
  | { readonly kind: 'cut' }
  /** Tasks fail at once. */
  | { readonly kind: 'failing' }
  /** Tasks stand still. */
  | { readonly kind: 'hanging' }
  /** Starts are not answered and carried out later. */
  | { readonly kind: 'late-starts'; readonly delayMs: number };

export interface WorkerStandInOptions {
  readonly workerId: string;
  readonly service: string;
  readonly zone: string;
  readonly cpu: number;
  /** Run time over the time that a specification asks for. */
  readonly slowness: number;
}

interface OrderBody {
  readonly task: string;
  readonly runId: number;
  readonly taskSpec: string;
  readonly deadlineMs?: number;
  readonly fencingToken?: number;
  readonly lastSeen?: number;
  readonly waitMs?: number;
}

export class WorkerStandIn {
  fault: WorkerFault = { kind: 'none' };
  /** Every start that was carried out. */
  readonly starts: StartRecord[] = [];
  looks = 0;
  private server!: HttpServer;
  private readonly bornAtMs = Date.now();
  private readonly runs = new Map<string, StandInRun>();
  private readonly ended = new Map<string, number>();
  private ends: EndRow[] = [];
  private endNumber = 0;
  private highestToken = 0;
  private leaseEndMs = 0;
  private readonly endWaiters = new Set<() => void>();
  private readonly leaseTimer: NodeJS.Timeout;

  private constructor(private readonly options: WorkerStandInOptions) {
    this.leaseTimer = setInterval(() => this.lapse(), leaseCheckMs);
  }

  static async create(options: WorkerStandInOptions): Promise<WorkerStandIn> {
    const worker = new WorkerStandIn(options);
    worker.server = await listenOnLoopback(maxConnections, (request, response) =>
      worker.serve(request, response),
    );
    return worker;
  }

  get workerId(): string {
    return this.options.workerId;
  }

  get address(): string {
    return this.server.address;
  }

  /**
   * Composes the entry by which the worker registers itself.
   *
   * @param state - whether it takes new work
   * @param address - where it says that it is reached
   */
  entry(state: 'ready' | 'draining' = 'ready', address = this.address): Buffer {
    const { service, zone, cpu } = this.options;
    return Buffer.from(
      JSON.stringify({
        service,
        address,
        zone,
        version: 'v1',
        slots: 8,
        state,
        coldRemainingMs: 0,
        capacity: { cpu, memMb: 65_536 },
        labels: ['a', 'r1'],
        born: this.bornAtMs,
        clockMs: this.clockMs(),
        sequence: 1,
      }),
    );
  }

  async close(): Promise<void> {
    clearInterval(this.leaseTimer);
    this.runs.forEach(({ timer }) => clearTimeout(timer));
    this.endWaiters.forEach((wake) => wake());
    await this.server.kill();
  }

  private clockMs(): number {
    return Math.round(performance.now());
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = (await readJsonBody(request, maxBodyBytes)).unwrap() as OrderBody;
    if (this.fault.kind === 'cut') {
      return;
    }
    const token = body.fencingToken ?? 0;
    if (token < this.highestToken) {
      this.reply(response, 409, { reason: 'fence' });
      return;
    }
    this.highestToken = token;
    switch (request.url ?? '') {
      case '/-/run-start':
        return this.serveStart(body, response);
      case '/-/run-stop':
        this.noteEnded(body.task, body.runId);
        this.end(body.task, body.runId, 'stopped');
        this.reply(response, 200, {});
        return;
      case '/-/hold':
        return this.serveHold(body, response);
      default:
        this.reply(response, 404, {});
    }
  }

  private async serveStart(body: OrderBody, response: ServerResponse): Promise<void> {
    if (this.fault.kind === 'late-starts') {
      const { delayMs } = this.fault;
      setTimeout(() => this.start(body), delayMs);
      return;
    }
    const reason = this.start(body);
    this.reply(response, reason === undefined ? 200 : 409, reason === undefined ? {} : { reason });
  }

  /** @returns why the start is refused, if it is */
  private start(body: OrderBody): string | undefined {
    const { task, runId, deadlineMs = 0 } = body;
    const spec = JSON.parse(body.taskSpec) as StandInSpec;
    if (this.runs.get(task)?.run === runId) {
      return undefined;
    }
    if (runId <= (this.ended.get(task) ?? 0)) {
      return 'old';
    }
    if (deadlineMs < this.clockMs()) {
      return 'late';
    }
    const used = [...this.runs.values()].reduce((sum, { cpu }) => sum + cpu, 0);
    if (used + spec.cpu > this.options.cpu) {
      return 'room';
    }
    this.renew(deadlineMs);
    const { workerId } = this;
    const startedAtMs = performance.now();
    this.starts.push({
      workerId,
      task,
      run: runId,
      token: this.highestToken,
      startedAtMs,
      endedAtMs: undefined,
      how: undefined,
    });
    const fails = spec.fails === true || this.fault.kind === 'failing';
    const runMs = this.fault.kind === 'failing' ? 1 : spec.runMs * this.options.slowness;
    const timer = setTimeout(() => this.end(task, runId, fails ? 'failed' : 'done'), runMs);
    if (this.fault.kind === 'hanging') {
      clearTimeout(timer);
    }
    this.runs.set(task, { task, run: runId, cpu: spec.cpu, startedAtMs, timer });
    return undefined;
  }

  private async serveHold(body: OrderBody, response: ServerResponse): Promise<void> {
    this.looks += 1;
    this.renew(body.deadlineMs ?? 0);
    this.ends = this.ends.filter(({ number }) => number > (body.lastSeen ?? 0));
    if (this.ends.length === 0 && (body.waitMs ?? 0) > 0) {
      await this.waitForEnd(body.waitMs ?? 0);
    }
    this.reply(response, 200, {
      born: this.bornAtMs,
      running: [...this.runs.values()].map(({ task, run }) => [task, run, '', 50]),
      finished: this.ends.map(({ number, task, run, how }) => [number, task, run, how, '']),
    });
  }

  private waitForEnd(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        clearTimeout(timer);
        this.endWaiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      this.endWaiters.add(wake);
    });
  }

  private renew(deadlineMs: number): void {
    const longest = this.clockMs() + maxLeaseMs;
    this.leaseEndMs = Math.max(this.leaseEndMs, Math.min(deadlineMs, longest));
  }

  private lapse(): void {
    if (this.clockMs() > this.leaseEndMs) {
      [...this.runs.values()].forEach(({ task, run }) => this.end(task, run, 'lapsed'));
    }
  }

  private noteEnded(task: string, run: number): void {
    this.ended.set(task, Math.max(this.ended.get(task) ?? 0, run));
  }

  private end(task: string, run: number, how: StandInEnd): void {
    const active = this.runs.get(task);
    if (active?.run !== run) {
      return;
    }
    clearTimeout(active.timer);
    this.runs.delete(task);
    this.noteEnded(task, run);
    this.endNumber += 1;
    this.ends.push({ number: this.endNumber, task, run, how });
    const record = this.starts.find((start) => start.task === task && start.run === run);
    if (record !== undefined) {
      record.endedAtMs = performance.now();
      record.how = how;
    }
    this.endWaiters.forEach((wake) => wake());
  }

  private reply(response: ServerResponse, status: number, body: object): void {
    if (this.fault.kind !== 'mute') {
      sendJson(response, status, { clockMs: this.clockMs(), ...body });
    }
  }
}
