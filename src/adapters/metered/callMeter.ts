/**
 * Metrics of calls to an external system: their number by call and outcome, and their duration.
 */
import type { Clock } from '../../ports/clock.js';
import type { Metrics } from '../../ports/metrics.js';

export interface CallMeterOptions {
  readonly metrics: Metrics;
  readonly clock: Clock;
  /** The called system, as a prefix of the metric names: `worker` or `store`. */
  readonly callee: string;
}

export class CallMeter<Reply> {
  private constructor(
    private readonly options: CallMeterOptions,
    private readonly outcomeOf: (reply: Reply) => string,
  ) {}

  /**
   * @param options - the metrics, the clock and the name of the called system
   * @param outcomeOf - returns the `outcome` label of a reply
   */
  static create<Reply>(
    options: CallMeterOptions,
    outcomeOf: (reply: Reply) => string,
  ): CallMeter<Reply> {
    return new CallMeter(options, outcomeOf);
  }

  /**
   * Counts a call and records the time to its reply.
   *
   * @param call - value of the `call` label
   * @param reply - the pending reply
   */
  async measure<R extends Reply>(call: string, reply: Promise<R>): Promise<R> {
    const { callee, clock, metrics } = this.options;
    const sentAtMs = clock.nowMs();
    const result = await this.count(call, reply);
    metrics.durationMs(`${callee}_call`, clock.nowMs() - sentAtMs, [`call:${call}`]);
    return result;
  }

  /** Counts a call without its duration; for long polls, which last as long as the requested wait. */
  async count<R extends Reply>(call: string, reply: Promise<R>): Promise<R> {
    const { callee, metrics } = this.options;
    const result = await reply;
    metrics.count(`${callee}_calls`, 1, [`call:${call}`, `outcome:${this.outcomeOf(result)}`]);
    return result;
  }
}
