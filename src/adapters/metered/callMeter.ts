/**
 * Counts calls to something outside by call and outcome, and how long they take.
 */
import type { Clock } from '../../ports/clock.js';
import type { Metrics } from '../../ports/metrics.js';

export interface CallMeterOptions {
  readonly metrics: Metrics;
  readonly clock: Clock;
  /** What is called, as the names of the metrics begin: `worker` or `store`. */
  readonly callee: string;
}

export class CallMeter<Reply> {
  private constructor(
    private readonly options: CallMeterOptions,
    private readonly outcomeOf: (reply: Reply) => string,
  ) {}

  /**
   * @param options - where the metrics go
   * @param outcomeOf - names the outcome of a reply
   */
  static create<Reply>(
    options: CallMeterOptions,
    outcomeOf: (reply: Reply) => string,
  ): CallMeter<Reply> {
    return new CallMeter(options, outcomeOf);
  }

  /** Counts a call and notes how long its reply took. */
  async measure<R extends Reply>(call: string, reply: Promise<R>): Promise<R> {
    const { callee, clock, metrics } = this.options;
    const sentAtMs = clock.nowMs();
    const answered = await this.count(call, reply);
    metrics.durationMs(`${callee}_call`, clock.nowMs() - sentAtMs, [`call:${call}`]);
    return answered;
  }

  /** Counts a call that takes as long as it is told to wait. */
  async count<R extends Reply>(call: string, reply: Promise<R>): Promise<R> {
    const { callee, metrics } = this.options;
    const answered = await reply;
    metrics.count(`${callee}_calls`, 1, [`call:${call}`, `outcome:${this.outcomeOf(answered)}`]);
    return answered;
  }
}
