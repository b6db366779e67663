/**
 * Workers that reply to every order as a test scripts it, and record the orders.
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

/** An order that a worker received, with the time. */
export type ReceivedOrder =
  | { readonly kind: 'start'; readonly order: RunOrder; readonly atMs: number }
  | { readonly kind: 'stop'; readonly order: StopOrder; readonly atMs: number }
  | { readonly kind: 'hold'; readonly order: HoldOrder; readonly atMs: number };

const emptyReport: WorkerReport = { workerClockMs: 0, running: [], ends: [] };

export class ScriptedWorkers implements WorkerPort {
  readonly receivedOrders: ReceivedOrder[] = [];
  /** Report in the default reply to hold orders. */
  report: WorkerReport = emptyReport;
  onStart: (order: RunOrder) => StartReply = () => ({ kind: 'started', workerClockMs: 0 });
  onStop: (order: StopOrder) => StopReply = () => ({ kind: 'stopped' });
  onHold: (order: HoldOrder) => HoldReply = () => ({ kind: 'held', report: this.report });

  private readonly disconnection = new AbortController();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): ScriptedWorkers {
    return new ScriptedWorkers(clock);
  }

  get starts(): RunOrder[] {
    return this.receivedOrders.flatMap((entry) => (entry.kind === 'start' ? [entry.order] : []));
  }

  get stops(): StopOrder[] {
    return this.receivedOrders.flatMap((entry) => (entry.kind === 'stop' ? [entry.order] : []));
  }

  get holds(): HoldOrder[] {
    return this.receivedOrders.flatMap((entry) => (entry.kind === 'hold' ? [entry.order] : []));
  }

  async start(_target: WorkerTarget, order: RunOrder, timeoutMs: number): Promise<StartReply> {
    this.receivedOrders.push({ kind: 'start', order, atMs: this.clock.nowMs() });
    const reply = this.onStart(order);
    await this.waitIfNoAnswer(reply, timeoutMs);
    return reply;
  }

  async stop(_target: WorkerTarget, order: StopOrder, timeoutMs: number): Promise<StopReply> {
    this.receivedOrders.push({ kind: 'stop', order, atMs: this.clock.nowMs() });
    const reply = this.onStop(order);
    await this.waitIfNoAnswer(reply, timeoutMs);
    return reply;
  }

  /**
   * Replies after the whole wait of the order, as a worker does if none of its runs ends during the wait.
   * `onHold` is called twice, since a test may change the reply during the wait.
   */
  async hold(_target: WorkerTarget, order: HoldOrder, timeoutMs: number): Promise<HoldReply> {
    this.receivedOrders.push({ kind: 'hold', order, atMs: this.clock.nowMs() });
    const replyAtStart = this.onHold(order);
    if (replyAtStart.kind === 'no-answer') {
      await this.clock.sleep(timeoutMs, this.disconnection.signal);
      return replyAtStart;
    }
    await this.clock.sleep(order.waitMs, this.disconnection.signal);
    const reply = this.onHold(order);
    return reply.kind === 'held'
      ? { ...reply, report: { ...reply.report, workerClockMs: this.clock.nowMs() } }
      : reply;
  }

  /** Ends the orders that wait for an answer, as the loss of their connection does. */
  async disconnect(): Promise<void> {
    this.disconnection.abort();
  }

  async close(): Promise<void> {
    // Nothing to release.
  }

  /** Waits for the whole timeout where the scripted reply is that no answer came. */
  private async waitIfNoAnswer(
    { kind }: { readonly kind: string },
    timeoutMs: number,
  ): Promise<void> {
    if (kind === 'no-answer') {
      await this.clock.sleep(timeoutMs, this.disconnection.signal);
    }
  }
}
