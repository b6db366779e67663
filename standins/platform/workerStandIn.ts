/**
 * Stands in for a worker of the platform: registers, runs tasks under a lease by waiting, and reports the end
 * of each run until it is acknowledged. After a crash it starts again under its id.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { HttpServer } from '../../src/adapters/http/httpServer.js';
import { readJsonBody } from '../../src/adapters/http/readJsonBody.js';
import { sendJson } from '../../src/adapters/http/sendJson.js';
import { listenOnLoopback } from './listenOnLoopback.js';
import type { StartRecord } from './standInRun.js';
import { runBehaviour } from './workerFault.js';
import type { WorkerFault } from './workerFault.js';
import { WorkerLife } from './workerLife.js';
import type { OrderBody } from './workerLife.js';

const maxConnections = 64;
const maxBodyBytes = 65_536;
/** Names the worker that an order is meant for. */
const expectedInstanceHeader = 'x-toucandyke-expected-instance';
/** Time from a crash by a task to the restart of the worker, in milliseconds, unless set otherwise. */
const defaultRestartDelayMs = 1_500;
/** Time that a stop takes, in milliseconds, unless an option says otherwise. */
const defaultStopMs = 30;

export interface WorkerStandInOptions {
  readonly workerId: string;
  readonly service: string;
  readonly zone: string;
  /** Thousandths of a core. */
  readonly cpu: number;
  /** Slowdown factor: run time over the run time of the specification. */
  readonly slowness: number;
  /** Kind of the worker, one of its labels; `a` by default. */
  readonly kind?: string;
  /** Time on the worker's clock over true time; 1 by default. */
  readonly clockRate?: number;
  /** Time that a stop takes, in milliseconds. */
  readonly stopMs?: number;
}

export class WorkerStandIn {
  fault: WorkerFault = { kind: 'none' };
  /** Time from a crash by a task to the restart of the worker, in milliseconds. */
  restartDelayMs = defaultRestartDelayMs;
  /** Every start that was carried out, in all lives, in order. */
  readonly starts: StartRecord[] = [];
  /** Hold orders received. */
  holdCount = 0;
  private server!: HttpServer;
  /** The current life, or the last one while the worker is down. */
  private life: WorkerLife;
  private isClosed = false;
  /** Called when the worker is back after a crash, to register it again. */
  onRestart: () => void = () => undefined;

  private constructor(private readonly options: WorkerStandInOptions) {
    this.life = this.beginLife();
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

  /** Whether the worker has crashed and is not back. */
  get isDown(): boolean {
    return this.life.isOver;
  }

  /**
   * Composes the record that registers the worker in the store.
   *
   * @param state - whether it accepts new work
   * @param address - address for orders, such as that of a proxy in front of the worker
   */
  composeEntry(state: 'ready' | 'draining' = 'ready', address = this.address): Buffer {
    const { service, zone, cpu, kind = 'a' } = this.options;
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
        labels: [kind, 'r1'],
        born: this.life.bornMs,
        clockMs: this.life.clockMs,
        sequence: 1,
      }),
    );
  }

  /**
   * Ends the worker's life, and starts the next one after a while. Nothing happens if it is down already.
   *
   * @param downMs - time until the worker is back, in milliseconds
   */
  async crash(downMs: number): Promise<void> {
    if (this.isDown) {
      return;
    }
    this.life.crash();
    await sleep(downMs);
    if (this.isClosed) {
      return;
    }
    this.life = this.beginLife();
    this.onRestart();
  }

  async close(): Promise<void> {
    this.isClosed = true;
    this.life.crash();
    await this.server.kill();
  }

  private beginLife(): WorkerLife {
    const { workerId, cpu, slowness, clockRate = 1, stopMs = defaultStopMs } = this.options;
    return WorkerLife.create({
      workerId,
      cpu,
      slowness,
      clockRate,
      stopMs,
      onStart: (record) => void this.starts.push(record),
      onCrashingTask: () => void this.crash(this.restartDelayMs),
    });
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = (await readJsonBody(request, maxBodyBytes)).unwrap() as OrderBody;
    const { life } = this;
    if (life.isOver) {
      request.socket.destroy();
      return;
    }
    if (this.fault.kind === 'cut') {
      return;
    }
    const expected = request.headers[expectedInstanceHeader];
    if (expected !== undefined && expected !== this.workerId) {
      this.reply(life, response, 421, {});
      return;
    }
    if (!life.acceptsToken(body.fencingToken ?? 0)) {
      this.reply(life, response, 409, { reason: 'fence' });
      return;
    }
    switch (request.url ?? '') {
      case '/-/run-start':
        return this.serveStart(life, body, response);
      case '/-/run-stop':
        life.stop(body);
        this.reply(life, response, 200, {});
        return;
      case '/-/hold': {
        this.holdCount += 1;
        this.reply(life, response, 200, await life.hold(body));
        return;
      }
      default:
        this.reply(life, response, 404, {});
    }
  }

  private async serveStart(
    life: WorkerLife,
    body: OrderBody,
    response: ServerResponse,
  ): Promise<void> {
    if (this.fault.kind === 'late-starts') {
      await sleep(this.fault.delayMs);
      if (!life.isOver) {
        life.start(body, 'as-specified');
      }
      return;
    }
    const reason = life.start(body, runBehaviour(this.fault));
    const status = reason === undefined ? 200 : 409;
    this.reply(life, response, status, reason === undefined ? {} : { reason });
  }

  /** Answers an order; a life that has ended breaks the connection instead. */
  private reply(
    life: WorkerLife,
    response: ServerResponse,
    status: number,
    body: object | undefined,
  ): void {
    if (life.isOver || body === undefined) {
      response.destroy();
      return;
    }
    if (this.fault.kind !== 'mute') {
      sendJson(response, status, { clockMs: life.clockMs, ...body });
    }
  }
}
