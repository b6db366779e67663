/**
 * Counts the calls to workers and how long they take.
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

export interface MeteredWorkersOptions {
  readonly workers: WorkerPort;
  readonly metrics: Metrics;
  readonly clock: Clock;
}

export class MeteredWorkers implements WorkerPort {
  private constructor(private readonly options: MeteredWorkersOptions) {}

  static create(options: MeteredWorkersOptions): MeteredWorkers {
    return new MeteredWorkers(options);
  }

  start(target: WorkerTarget, order: RunOrder, timeoutMs: number): Promise<StartReply> {
    return this.measure('start', this.options.workers.start(target, order, timeoutMs));
  }

  stop(target: WorkerTarget, order: StopOrder, timeoutMs: number): Promise<StopReply> {
    return this.measure('stop', this.options.workers.stop(target, order, timeoutMs));
  }

  async hold(target: WorkerTarget, order: HoldOrder, timeoutMs: number): Promise<HoldReply> {
    // A hold takes as long as it is told to wait, so only its outcome is counted.
    const reply = await this.options.workers.hold(target, order, timeoutMs);
    this.options.metrics.count('worker_calls', 1, ['call:hold', `outcome:${reply.kind}`]);
    return reply;
  }

  release(target: WorkerTarget): Promise<void> {
    return this.options.workers.release(target);
  }

  close(): Promise<void> {
    return this.options.workers.close();
  }

  private async measure<R extends { readonly kind: string }>(
    call: string,
    reply: Promise<R>,
  ): Promise<R> {
    const { clock, metrics } = this.options;
    const sentAtMs = clock.nowMs();
    const answered = await reply;
    metrics.count('worker_calls', 1, [`call:${call}`, `outcome:${answered.kind}`]);
    metrics.durationMs('worker_call', clock.nowMs() - sentAtMs, [`call:${call}`]);
    return answered;
  }
}
