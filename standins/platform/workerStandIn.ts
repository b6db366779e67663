/**
 * Stands in for a worker of the platform: runs tasks under a lease by waiting, and reports the end of
 * each run until it is acknowledged.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { HttpServer } from '../../src/adapters/http/httpServer.js';
import { readJsonBody } from '../../src/adapters/http/readJsonBody.js';
import { sendJson } from '../../src/adapters/http/sendJson.js';
import { listenOnLoopback } from './listenOnLoopback.js';
import { ReportedEnds } from './reportedEnds.js';
import type { RunOutcome, StandInRun, StandInSpec, StartRecord } from './standInRun.js';

const maxConnections = 64;
const maxBodyBytes = 65_536;
const maxLeaseMs = 1_000;
const leaseCheckMs = 10;
/** Time from the start of a crashing task to the crash of its worker. */
const crashDelayMs = 20;
/** Time from the crash of a worker to its restart. */
const restartDelayMs = 1_500;

/** Fault of a worker. */
export type WorkerFault =
  | { readonly kind: 'none' }
  /** Carries out orders and never answers. */
  | { readonly kind: 'mute' }
  /** Neither carries out nor answers orders, as if the network were cut; runs continue. */
  | { readonly kind: 'cut' }
  /** Runs fail at once. */
  | { readonly kind: 'failing' }
  /** Runs do not end by themselves. */
  | { readonly kind: 'hanging' }
  /** Starts are carried out after a delay and never answered. */
  | { readonly kind: 'late-starts'; readonly delayMs: number };

export interface WorkerStandInOptions {
  readonly workerId: string;
  readonly service: string;
  readonly zone: string;
  /** Thousandths of a core. */
  readonly cpu: number;
  /** Slowdown factor: run time over the run time of the specification. */
  readonly slowness: number;
}

/** Body of a start, stop or hold order; each uses the fields that it needs. */
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
  /** Every start that was carried out, in order. */
  readonly starts: StartRecord[] = [];
  /** Hold orders received. */
  holdCount = 0;
  private server!: HttpServer;
  /** Start time, which distinguishes this incarnation of the worker from a later one. */
  private startedAtMs = Date.now();
  /** Whether the worker has crashed and is not back. */
  private isDown = false;
  /** Called when the worker is back after a crash, to register it again. */
  onRestart: () => void = () => undefined;
  /** Current runs, by task. */
  private readonly runs = new Map<string, StandInRun>();
  /** Highest run number that has ended, by task; it and lower ones are refused. */
  private readonly ended = new Map<string, number>();
  private readonly ends = ReportedEnds.create();
  private highestFencingToken = 0;
  /** End of the lease of all runs, on the worker's clock. */
  private leaseEndMs = 0;
  private readonly leaseTimer: NodeJS.Timeout;

  private constructor(private readonly options: WorkerStandInOptions) {
    this.leaseTimer = setInterval(() => this.endRunsOfLapsedLease(), leaseCheckMs);
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
   * Composes the record that registers the worker in the store.
   *
   * @param state - whether it accepts new work
   * @param address - address for orders, such as that of a proxy in front of the worker
   */
  composeEntry(state: 'ready' | 'draining' = 'ready', address = this.address): Buffer {
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
        born: this.startedAtMs,
        clockMs: this.clockMs(),
        sequence: 1,
      }),
    );
  }

  async close(): Promise<void> {
    clearInterval(this.leaseTimer);
    this.runs.forEach(({ timer }) => clearTimeout(timer));
    this.ends.wakeAll();
    await this.server.kill();
  }

  /** @returns the time on the worker's clock, in milliseconds */
  private clockMs(): number {
    return Math.round(performance.now());
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = (await readJsonBody(request, maxBodyBytes)).unwrap() as OrderBody;
    if (this.isDown) {
      request.socket.destroy();
      return;
    }
    if (this.fault.kind === 'cut') {
      return;
    }
    const token = body.fencingToken ?? 0;
    if (token < this.highestFencingToken) {
      this.reply(response, 409, { reason: 'fence' });
      return;
    }
    this.highestFencingToken = token;
    switch (request.url ?? '') {
      case '/-/run-start':
        return this.serveStart(body, response);
      case '/-/run-stop':
        this.recordEnded(body.task, body.runId);
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

  /** @returns why the start is refused; undefined if the run has started, also by an earlier order */
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
    this.extendLease(deadlineMs);
    const { workerId } = this;
    const startedAtMs = performance.now();
    this.starts.push({
      workerId,
      task,
      run: runId,
      token: this.highestFencingToken,
      startedAtMs,
      endedAtMs: undefined,
      outcome: undefined,
    });
    const fails = spec.fails === true || this.fault.kind === 'failing';
    const runMs = this.fault.kind === 'failing' ? 1 : spec.runMs * this.options.slowness;
    const timer = setTimeout(() => this.end(task, runId, fails ? 'failed' : 'done'), runMs);
    if (this.fault.kind === 'hanging') {
      clearTimeout(timer);
    }
    this.runs.set(task, { task, run: runId, cpu: spec.cpu, startedAtMs, timer });
    if (spec.crashingTask === task) {
      setTimeout(() => this.crash(), crashDelayMs);
    }
    return undefined;
  }

  /** Ends all runs without a report; the worker is back after a while as another incarnation. */
  private crash(): void {
    for (const { task, run } of [...this.runs.values()]) {
      this.end(task, run, 'crashed');
    }
    this.isDown = true;
    this.ended.clear();
    this.ends.reset();
    setTimeout(() => {
      this.isDown = false;
      this.startedAtMs = Date.now();
      this.highestFencingToken = 0;
      this.leaseEndMs = 0;
      this.onRestart();
    }, restartDelayMs);
  }

  private async serveHold(body: OrderBody, response: ServerResponse): Promise<void> {
    this.holdCount += 1;
    this.extendLease(body.deadlineMs ?? 0);
    this.ends.acknowledge(body.lastSeen ?? 0);
    await this.ends.waitForEnd(body.waitMs ?? 0);
    if (this.isDown) {
      response.destroy();
      return;
    }
    this.reply(response, 200, {
      born: this.startedAtMs,
      running: [...this.runs.values()].map(({ task, run }) => [task, run, '', 50]),
      finished: this.ends
        .list()
        .map(({ sequence, task, run, outcome }) => [sequence, task, run, outcome, '']),
    });
  }

  /** Extends the lease to a deadline, at most `maxLeaseMs` from now; it is never shortened. */
  private extendLease(deadlineMs: number): void {
    const latestEndMs = this.clockMs() + maxLeaseMs;
    this.leaseEndMs = Math.max(this.leaseEndMs, Math.min(deadlineMs, latestEndMs));
  }

  private endRunsOfLapsedLease(): void {
    if (this.clockMs() > this.leaseEndMs) {
      [...this.runs.values()].forEach(({ task, run }) => this.end(task, run, 'lapsed'));
    }
  }

  /** Prevents this run and lower ones of the task from starting. */
  private recordEnded(task: string, run: number): void {
    this.ended.set(task, Math.max(this.ended.get(task) ?? 0, run));
  }

  /** Ends a run that is still going on, and wakes the hold orders that wait for an end. */
  private end(task: string, run: number, outcome: RunOutcome): void {
    const active = this.runs.get(task);
    if (active?.run !== run) {
      return;
    }
    clearTimeout(active.timer);
    this.runs.delete(task);
    this.recordEnded(task, run);
    const record = this.starts.find((start) => start.task === task && start.run === run);
    if (record !== undefined) {
      record.endedAtMs = performance.now();
      record.outcome = outcome;
    }
    this.ends.add(task, run, outcome);
  }

  private reply(response: ServerResponse, status: number, body: object): void {
    if (this.fault.kind !== 'mute') {
      sendJson(response, status, { clockMs: this.clockMs(), ...body });
    }
  }
}
