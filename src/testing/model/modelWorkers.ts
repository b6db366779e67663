/**
 * The port of one process to the workers of the model.
 */
import { unreachable } from '../../errors/unreachable.js';
import type {
  HoldOrder,
  HoldReply,
  OrderFailure,
  RunOrder,
  StartReply,
  StopOrder,
  StopReply,
  WorkerPort,
  WorkerTarget,
} from '../../ports/workers.js';
import type { FakeClock } from '../fakeClock.js';
import type { ModelNetwork } from './modelNetwork.js';
import type { ModelProcess } from './modelProcess.js';
import type { ModelWorker } from './modelWorker.js';
import type { ModelWorkerLife, Refusal } from './modelWorkerLife.js';

const maxPort = 65_535;
const unhealthyStatus = 503;

export interface ModelWorkersOptions {
  readonly time: FakeClock;
  readonly network: ModelNetwork;
  readonly process: ModelProcess;
  /** By worker id. */
  readonly workers: ReadonlyMap<string, ModelWorker>;
  /** Whether replies to starts state the start of the worker. */
  readonly startsStateLifetime: boolean;
}

/** Carries an order out, with the leases that it grants moved by a delay. */
type DelayedOrder<T> = (life: ModelWorkerLife, leaseDelayMs: number) => Promise<T>;

/** What an order did: its reply and the lifetime that carried it out. */
interface CarriedOut<T> {
  readonly reply: T;
  readonly life: ModelWorkerLife;
}

export class ModelWorkers implements WorkerPort {
  /** Breaks the connections to a worker, by address. */
  private readonly connections = new Map<string, AbortController>();

  private constructor(private readonly options: ModelWorkersOptions) {}

  static create(options: ModelWorkersOptions): ModelWorkers {
    return new ModelWorkers(options);
  }

  async start(target: WorkerTarget, order: RunOrder, timeoutMs: number): Promise<StartReply> {
    const result = await this.send(target, timeoutMs, async (life, delayMs) =>
      life.start({ ...order, leaseEndWorkerMs: order.leaseEndWorkerMs + delayMs }),
    );
    if ('kind' in result) {
      return result;
    }
    const { reply, life } = result;
    const start = this.options.startsStateLifetime ? { startedAtMs: life.bornMs } : {};
    const workerClockMs = life.clockMs;
    switch (reply) {
      case undefined:
        return { kind: 'started', workerClockMs, ...start };
      case 'stale-token':
        return { kind: reply };
      case 'lease-over':
      case 'used-number':
      case 'no-room':
        return { kind: 'refused', reason: reply, workerClockMs, ...start };
      default:
        return unreachable(reply);
    }
  }

  async stop(target: WorkerTarget, order: StopOrder, timeoutMs: number): Promise<StopReply> {
    const result = await this.send(target, timeoutMs, async (life) => life.stop(order));
    if ('kind' in result) {
      return result;
    }
    return { kind: result.reply === undefined ? 'stopped' : 'stale-token' };
  }

  async hold(target: WorkerTarget, order: HoldOrder, timeoutMs: number): Promise<HoldReply> {
    const result = await this.send(target, timeoutMs, (life, delayMs) =>
      life.hold({ ...order, ...delayLease(order, delayMs) }),
    );
    if ('kind' in result) {
      return result;
    }
    const { reply } = result;
    return typeof reply === 'string' ? { kind: 'stale-token' } : { kind: 'held', report: reply };
  }

  async disconnect({ address }: Pick<WorkerTarget, 'address'>): Promise<void> {
    const connection = this.connections.get(address);
    this.connections.delete(address);
    connection?.abort();
  }

  async close(): Promise<void> {
    await Promise.all([...this.connections.keys()].map((address) => this.disconnect({ address })));
  }

  private async send<T extends Refusal | object | undefined>(
    { workerId, address }: WorkerTarget,
    timeoutMs: number,
    order: DelayedOrder<T>,
  ): Promise<CarriedOut<T> | OrderFailure> {
    const { network, process, workers } = this.options;
    const worker = [...workers.values()].find((one) => one.address === address);
    if (Number(address.split(':')[1]) > maxPort) {
      throw new TypeError(`Invalid URL: ${address}`);
    }
    const connection = this.connections.get(address) ?? new AbortController();
    this.connections.set(address, connection);
    const result = await network.call<CarriedOut<T> | OrderFailure>({
      caller: process,
      callee: worker?.workerId ?? workerId,
      timeoutMs,
      signal: connection.signal,
      isListening: () =>
        worker !== undefined && (worker.life !== undefined || worker.down === 'silent'),
      carryOut: () => this.carryOut(worker, workerId, order),
    });
    switch (result.kind) {
      case 'answered':
        return result.value;
      case 'not-sent':
        return { kind: 'unreachable', detail: 'connection refused' };
      case 'disconnected':
        return { kind: 'disconnected', detail: 'connection reset' };
      case 'no-answer':
        return { kind: 'no-answer', detail: 'no answer' };
      default:
        return unreachable(result);
    }
  }

  /** Carries an order out in the present lifetime; rejects if that ends before the answer. */
  private async carryOut<T>(
    worker: ModelWorker | undefined,
    workerId: string,
    order: DelayedOrder<T>,
  ): Promise<CarriedOut<T> | OrderFailure> {
    const fault = worker?.fault;
    if (fault === 'refusing') {
      return { kind: 'unhealthy', status: unhealthyStatus };
    }
    const delayMs = fault === 'late' || fault === 'late-grants' ? (worker?.lateByMs ?? 0) : 0;
    if (delayMs > 0) {
      await this.options.time.sleep(delayMs);
    }
    const life = worker?.life;
    if (worker === undefined || life === undefined) {
      return never();
    }
    if (worker.presentId !== workerId) {
      return fault === undefined ? { kind: 'replaced' } : never();
    }
    const leaseDelayMs = fault === 'late-grants' ? delayMs : 0;
    const ended = worker.lifeEnd.then(() =>
      worker.down === 'silent' ? never<T>() : lostConnection(),
    );
    const reply = await Promise.race([order(life, leaseDelayMs), ended]);
    return fault === undefined && worker.fault !== 'mute' ? { reply, life } : never();
  }
}

/** @returns the end of the lease that an order grants, if it grants one, after a delay */
const delayLease = (
  { leaseEndWorkerMs }: HoldOrder,
  delayMs: number,
): Pick<HoldOrder, 'leaseEndWorkerMs'> =>
  leaseEndWorkerMs === undefined ? {} : { leaseEndWorkerMs: leaseEndWorkerMs + delayMs };

const lostConnection = (): never => {
  throw new Error('connection reset');
};

/** An answer that never comes. */
const never = <T>(): Promise<T> => new Promise<T>(() => undefined);
