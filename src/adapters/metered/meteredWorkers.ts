/**
 * Decorator of the worker port that records the number and duration of calls.
 */
import type { Clock } from '../../ports/clock.js';
import type { Metrics } from '../../ports/metrics.js';
import type {
  HoldOrder,
  HoldReply,
  RunOrder,
  StartReply,
  StopOrder,
  StopReply,
  WorkerPort,
  WorkerTarget,
} from '../../ports/workers.js';
import { CallMeter } from './callMeter.js';

export interface MeteredWorkersOptions {
  readonly workers: WorkerPort;
  readonly metrics: Metrics;
  readonly clock: Clock;
}

export class MeteredWorkers implements WorkerPort {
  private readonly meter: CallMeter<{ readonly kind: string }>;

  private constructor(private readonly options: MeteredWorkersOptions) {
    this.meter = CallMeter.create({ ...options, callee: 'worker' }, ({ kind }) => kind);
  }

  static create(options: MeteredWorkersOptions): MeteredWorkers {
    return new MeteredWorkers(options);
  }

  start(target: WorkerTarget, order: RunOrder, timeoutMs: number): Promise<StartReply> {
    return this.meter.measure('start', this.options.workers.start(target, order, timeoutMs));
  }

  stop(target: WorkerTarget, order: StopOrder, timeoutMs: number): Promise<StopReply> {
    return this.meter.measure('stop', this.options.workers.stop(target, order, timeoutMs));
  }

  hold(target: WorkerTarget, order: HoldOrder, timeoutMs: number): Promise<HoldReply> {
    return this.meter.count('hold', this.options.workers.hold(target, order, timeoutMs));
  }

  disconnect(target: WorkerTarget): Promise<void> {
    return this.options.workers.disconnect(target);
  }

  close(): Promise<void> {
    return this.options.workers.close();
  }
}
