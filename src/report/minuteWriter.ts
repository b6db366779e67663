/**
 * Writes the sums of each ended minute to a log stream, so that they outlive the VM.
 */
import type { Clock } from '../ports/clock.js';
import type { LogService } from '../ports/logService.js';
import type { Logger } from '../ports/logger.js';
import type { MinuteCounter } from './minuteCounter.js';
import type { MinuteSum } from '../types/report.js';

export const serviceLevelStream = 'service-levels';

export const minuteMs = 60_000;
/** Minutes that wait for the log; older ones are lost, and show as missing. */
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
  private readonly waiting: MinuteSum[] = [];
  private readonly stop = new AbortController();
  private readonly logger: Logger;
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

  /** @returns the sums that the log does not have yet, the present minute last */
  unwritten(): MinuteSum[] {
    return [...this.waiting, this.compose(this.options.counter.read())];
  }

  /** Writes what the present minute has so far, and ends. */
  async close(): Promise<void> {
    this.stop.abort();
    await this.done;
    this.endMinute();
    await this.write(AbortSignal.timeout(lastWriteMs));
  }

  /** Ends at once and writes nothing, as a killed process does. */
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
      await this.write(signal);
    }
  }

  private endMinute(): void {
    this.waiting.push(this.compose(this.options.counter.take()));
    this.minute = minuteOf(this.options.clock);
    if (this.waiting.length > maxWaitingMinutes) {
      this.waiting.shift();
      this.logger.warn('A minute of sums is lost.');
    }
  }

  private async write(signal: AbortSignal): Promise<void> {
    const sums = [...this.waiting];
    const appended = await this.options.logService.append(serviceLevelStream, sums, signal);
    if (appended.isOk()) {
      this.waiting.splice(0, sums.length);
    }
  }

  private compose(classes: MinuteSum['classes']): MinuteSum {
    const { vmId, incarnation } = this.options;
    return { vmId, incarnation, minute: this.minute, classes };
  }
}

/** Longest wait for the log at a planned stop, in milliseconds. */
const lastWriteMs = 1_000;

const minuteOf = (clock: Clock): number => Math.floor(clock.wallMs() / minuteMs);
