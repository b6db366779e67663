/**
 * A sound worker of the platform: it registers in the store, and runs a task by waiting for the time in
 * `taskSpec`. It may crash, and start again under its id at its address.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Record } from './record.js';
import type { Run } from './run.js';
import { WorkerLife } from './workerLife.js';
import type { Order } from './workerLife.js';
import type { StoreStandIn } from '../../standins/platform/storeStandIn.js';
import { workerTopic } from '../../standins/platform/topics.js';

const port = 8_080;
export const workerPorts: readonly number[] = [port];
const leaseCheckMs = 10;
const pingMs = 1_500;
const keepAliveTimeoutMs = 60_000;

export interface WorkerOptions {
  readonly workerId: string;
  readonly service: string;
  readonly zone: string;
  /** Kind of the worker, which is one of its labels. */
  readonly kind: string;
  readonly ip: string;
  /** Thousandths of a core. */
  readonly cpu: number;
  readonly store: StoreStandIn;
  readonly record: Record;
}

export class Worker {
  /** Every start that was carried out, in all lives. */
  readonly runs: Run[] = [];
  /** Orders that were received, in all lives. */
  orderCount = 0;
  /** Nothing while the worker is down. */
  private life: WorkerLife | undefined;
  private server: Server | undefined;
  private readonly sockets = new Set<Socket>();
  private sequence = 0;
  private readonly timers: readonly NodeJS.Timeout[];

  private constructor(private readonly options: WorkerOptions) {
    this.timers = [
      setInterval(() => this.life?.endLapsedRuns(), leaseCheckMs),
      setInterval(() => this.register(), pingMs),
    ];
  }

  static async create(options: WorkerOptions): Promise<Worker> {
    const worker = new Worker(options);
    await worker.start();
    return worker;
  }

  get workerId(): string {
    return this.options.workerId;
  }

  get kind(): string {
    return this.options.kind;
  }

  get runCount(): number {
    return this.life?.runCount ?? 0;
  }

  /** Begins a life, and registers it. */
  async start(): Promise<void> {
    const { workerId, cpu, record, ip } = this.options;
    const onRun = (run: Run): void => void this.runs.push(run);
    this.life = WorkerLife.create({ workerId, cpu, record, onRun });
    this.sequence = 0;
    const server = createServer(
      { keepAliveTimeout: keepAliveTimeoutMs },
      (request, response) => void this.serve(request, response),
    );
    server.on('connection', (socket: Socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
    this.server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, ip, resolve);
    });
    this.register();
  }

  /** Ends the life at once; connections are reset. */
  async crash(): Promise<void> {
    const { life, server } = this;
    this.life = undefined;
    this.server = undefined;
    life?.crash();
    if (server !== undefined) {
      const closed = new Promise((resolve) => server.close(resolve));
      this.sockets.forEach((socket) => socket.resetAndDestroy());
      await closed;
    }
  }

  async close(): Promise<void> {
    this.timers.forEach((timer) => clearInterval(timer));
    await this.crash();
  }

  /** Writes the worker's entry in the store, as it does with each ping. */
  private register(): void {
    const { life, options } = this;
    if (life === undefined) {
      return;
    }
    this.sequence += 1;
    const entry = {
      service: options.service,
      address: `${options.ip}:${port}`,
      zone: options.zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldRemainingMs: 0,
      capacity: { cpu: options.cpu, memMb: 65_536, gpu: 0 },
      labels: [options.kind, 'r1-1'],
      machine: `m-${options.workerId}`,
      born: life.bornMs,
      clockMs: life.clockMs,
      sequence: this.sequence,
    };
    const value = Buffer.from(JSON.stringify(entry));
    options.store.log(workerTopic).append(options.workerId, value);
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
      chunks.push(chunk as Buffer);
    }
    const { life } = this;
    if (life === undefined) {
      return;
    }
    const expected = request.headers['x-toucandyke-expected-instance'];
    if (expected !== undefined && expected !== this.workerId) {
      this.answer(life, response, 421, {});
      return;
    }
    if (request.method === 'GET') {
      this.answer(life, response, 200, {});
      return;
    }
    this.orderCount += 1;
    const order = JSON.parse(Buffer.concat(chunks).toString('utf8')) as Order;
    if (!life.acceptsToken(order.fencingToken ?? 0)) {
      this.answer(life, response, 409, { reason: 'fence' });
      return;
    }
    switch (request.url ?? '') {
      case '/-/run-start': {
        const reason = life.startRun(order);
        this.answer(life, response, reason === undefined ? 200 : 409, { reason });
        return;
      }
      case '/-/run-stop':
        life.stopRun(order);
        this.answer(life, response, 200, {});
        return;
      case '/-/hold':
        this.answer(life, response, 200, await life.hold(order));
        return;
      default:
        this.answer(life, response, 404, {});
    }
  }

  /** Answers unless the life has ended meanwhile. */
  private answer(life: WorkerLife, response: ServerResponse, status: number, body: object): void {
    if (life === this.life) {
      const text = JSON.stringify({ clockMs: life.clockMs, born: life.bornMs, ...body });
      response.writeHead(status, { 'content-type': 'application/json' });
      response.end(text);
    }
  }
}
