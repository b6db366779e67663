/**
 * Appends the sums of each minute to a stream of the log service, so that they outlive the VM.
 */
import type { Clock } from '../ports/clock.js';
import type { LogService } from '../ports/logService.js';
import type { Logger } from '../ports/logger.js';
import type { MinuteCounter } from './minuteCounter.js';
import type { MinuteSum } from '../types/report.js';

/** The stream that holds the minute sums of all daemons. */
export const serviceLevelStream = 'service-levels';

export const minuteMs = 60_000;
/** Bound on the minutes kept while the log service is unavailable; older ones are reported as missing. */
const maxWaitingMinutes = 60;

export interface MinuteWriterOptions {
  readonly vmId: string;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly logService: LogService;
  readonly counter: MinuteCounter;
}

export class MinuteWriter {
  /** Sums of past minutes that are not appended yet, oldest first. */
  private readonly waiting: MinuteSum[] = [];
  private readonly stop = new AbortController();
  private readonly logger: Logger;
  /** The current minute since the epoch. */
  private minute: number;
  private readonly done: Promise<void>;

  private constructor(private readonly options: MinuteWriterOptions) {
    this.logger = options.logger.forPart('report');
    this.minute = minuteOf(options.clock);
    this.done = this.writeMinutes();
  }

  static create(options: MinuteWriterOptions): MinuteWriter {
    return new MinuteWriter(options);
  }

  /** @returns the sums that are not appended to the log yet, the current minute last */
  unwrittenSums(): MinuteSum[] {
    return [...this.waiting, this.createMinuteSum(this.options.counter.read())];
  }

  /** Stops, and appends what is left, including the current minute so far. */
  async close(): Promise<void> {
    this.stop.abort();
    await this.done;
    this.endMinute();
    await this.appendWaiting(AbortSignal.timeout(finalWriteTimeoutMs));
  }

  /** Stops at once without writing, as a killed process does. */
  async kill(): Promise<void> {
    this.stop.abort();
    await this.done;
  }

  private async writeMinutes(): Promise<void> {
    const { clock } = this.options;
    const { signal } = this.stop;
    for (;;) {
      await clock.sleep(minuteMs - (clock.wallMs() % minuteMs), signal);
      if (signal.aborted) {
        return;
      }
      this.endMinute();
      await this.appendWaiting(signal);
    }
  }

  private endMinute(): void {
    this.waiting.push(this.createMinuteSum(this.options.counter.readAndReset()));
    this.minute = minuteOf(this.options.clock);
    if (this.waiting.length > maxWaitingMinutes) {
      this.waiting.shift();
      this.logger.warn('The oldest unwritten minute of job counts is discarded.');
    }
  }

  /** Appends all waiting sums; after a failure they wait for the next minute. */
  private async appendWaiting(signal: AbortSignal): Promise<void> {
    const sums = [...this.waiting];
    const appended = await this.options.logService.append(serviceLevelStream, sums, signal);
    if (appended.isOk()) {
      this.waiting.splice(0, sums.length);
    }
  }

  private createMinuteSum(classes: MinuteSum['classes']): MinuteSum {
    const { vmId, incarnation } = this.options;
    return { vmId, incarnation, minute: this.minute, classes };
  }
}

/** Longest wait for the log service at a planned shutdown. */
const finalWriteTimeoutMs = 1_000;

const minuteOf = (clock: Clock): number => Math.floor(clock.wallMs() / minuteMs);
