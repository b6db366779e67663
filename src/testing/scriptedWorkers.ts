/**
 * Workers whose answers a test sets one by one; every order is kept.
 */
import type {
  HoldOrder,
  HoldReply,
  RunOrder,
  StartReply,
  StopOrder,
  StopReply,
  WorkerPort,
  WorkerTarget,
} from '../ports/workers.js';
import type { Clock } from '../ports/clock.js';
import type { WorkerReport } from '../types/workers.js';

/** An order as the worker got it. */
export type SeenOrder =
  | { readonly kind: 'start'; readonly order: RunOrder; readonly atMs: number }
  | { readonly kind: 'stop'; readonly order: StopOrder; readonly atMs: number }
  | { readonly kind: 'hold'; readonly order: HoldOrder; readonly atMs: number };

const emptyReport: WorkerReport = { workerClockMs: 0, running: [], ends: [] };

export class ScriptedWorkers implements WorkerPort {
  readonly seen: SeenOrder[] = [];
  /** What the next holds report; a waiting hold takes its whole wait. */
  report: WorkerReport = emptyReport;
  onStart: (order: RunOrder) => StartReply = () => ({ kind: 'started', workerClockMs: 0 });
  onStop: (order: StopOrder) => StopReply = () => ({ kind: 'stopped' });
  onHold: (order: HoldOrder) => HoldReply = () => ({ kind: 'held', report: this.report });

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): ScriptedWorkers {
    return new ScriptedWorkers(clock);
  }

  get starts(): RunOrder[] {
    return this.seen.flatMap((one) => (one.kind === 'start' ? [one.order] : []));
  }

  get stops(): StopOrder[] {
    return this.seen.flatMap((one) => (one.kind === 'stop' ? [one.order] : []));
  }

  get holds(): HoldOrder[] {
    return this.seen.flatMap((one) => (one.kind === 'hold' ? [one.order] : []));
  }

  async start(_target: WorkerTarget, order: RunOrder, timeoutMs: number): Promise<StartReply> {
    this.seen.push({ kind: 'start', order, atMs: this.clock.nowMs() });
    const reply = this.onStart(order);
    await this.delay(reply, timeoutMs);
    return reply;
  }

  async stop(_target: WorkerTarget, order: StopOrder, timeoutMs: number): Promise<StopReply> {
    this.seen.push({ kind: 'stop', order, atMs: this.clock.nowMs() });
    const reply = this.onStop(order);
    await this.delay(reply, timeoutMs);
    return reply;
  }

  async hold(_target: WorkerTarget, order: HoldOrder, timeoutMs: number): Promise<HoldReply> {
    this.seen.push({ kind: 'hold', order, atMs: this.clock.nowMs() });
    const first = this.onHold(order);
    if (first.kind === 'no-answer') {
      await this.clock.sleep(timeoutMs);
      return first;
    }
    await this.clock.sleep(order.waitMs);
    const reply = this.onHold(order);
    return reply.kind === 'held'
      ? { ...reply, report: { ...reply.report, workerClockMs: this.clock.nowMs() } }
      : reply;
  }

  async release(): Promise<void> {
    // Nothing is open.
  }

  async close(): Promise<void> {
    // Nothing is open.
  }

  private async delay({ kind }: { readonly kind: string }, timeoutMs: number): Promise<void> {
    if (kind === 'no-answer') {
      await this.clock.sleep(timeoutMs);
    }
  }
}
