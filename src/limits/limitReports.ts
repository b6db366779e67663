/**
 * Counts and logs how often clients reach a limit: a metric for each time, and at most one log line in a second for each limit.
 */
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { Metrics } from '../ports/metrics.js';
import type { ClientLimit } from './requestLedger.js';

/** Time from a log line to the next one of the same limit, in milliseconds. */
const logPeriodMs = 1_000;

/** What became of the request or connection. */
export type LimitOutcome = 'refused' | 'disconnected';

export interface LimitReportsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

export class LimitReports {
  /** For each limit and outcome, how often it was reached since its last line, while that is less than a period ago. */
  private readonly unlogged = new Map<string, number>();

  private constructor(private readonly options: LimitReportsOptions) {}

  static create(options: LimitReportsOptions): LimitReports {
    return new LimitReports({ ...options, logger: options.logger.forPart('callers') });
  }

  /** Records that a limit was reached. */
  record(limit: ClientLimit, outcome: LimitOutcome): void {
    this.options.metrics.count('client_limits_reached', 1, [
      `limit:${limit}`,
      `outcome:${outcome}`,
    ]);
    const key = `${limit} ${outcome}`;
    const count = this.unlogged.get(key);
    if (count !== undefined) {
      this.unlogged.set(key, count + 1);
      return;
    }
    this.log(limit, outcome, 1);
    void this.logLater(limit, outcome);
  }

  /** Logs at the end of each period how often the limit was reached in it, until it was not. */
  private async logLater(limit: ClientLimit, outcome: LimitOutcome): Promise<void> {
    const key = `${limit} ${outcome}`;
    for (;;) {
      this.unlogged.set(key, 0);
      await this.options.clock.sleep(logPeriodMs);
      const count = this.unlogged.get(key) ?? 0;
      if (count === 0) {
        this.unlogged.delete(key);
        return;
      }
      this.log(limit, outcome, count);
    }
  }

  private log(limit: ClientLimit, outcome: LimitOutcome, count: number): void {
    const sentence = 'Clients have reached a limit on their memory.';
    this.options.logger.warn(sentence, { reason: limit, outcome, count });
  }
}
