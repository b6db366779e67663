/**
 * A log service in memory with faults.
 */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { Clock } from '../ports/clock.js';
import type { LogPage, LogRecord, LogService, LogServiceError } from '../ports/logService.js';
import { createDeferred } from '../utils/deferred.js';
import type { Deferred } from '../utils/deferred.js';

/** Faults of the fake, as the brief lists them. */
export type FakeLogFault = 'none' | 'outage' | 'answer-lost';

interface FakeStream {
  records: LogRecord[];
  endOffset: number;
  appended: Deferred<void>;
}

export class FakeLogService implements LogService {
  fault: FakeLogFault = 'none';
  /** Records that a stream keeps. */
  retainedRecords = Infinity;
  /** Time that an append takes before it takes effect, in milliseconds. */
  appendDelayMs = 0;
  appendCount = 0;
  private readonly streams = new Map<string, FakeStream>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): FakeLogService {
    return new FakeLogService(clock);
  }

  async append(
    name: string,
    values: readonly unknown[],
    _signal: AbortSignal,
  ): Promise<Result<number, LogServiceError>> {
    if (this.appendDelayMs > 0) {
      await this.clock.sleep(this.appendDelayMs);
    }
    if (this.fault === 'outage') {
      return Err(unreachable);
    }
    this.appendCount += 1;
    const stream = this.stream(name);
    const firstOffset = stream.endOffset;
    const added = values.map((value, i) => ({
      offset: firstOffset + i,
      value: structuredClone(value),
    }));
    stream.records = [...stream.records, ...added].slice(-this.retainedRecords);
    stream.endOffset += added.length;
    stream.appended.resolve();
    stream.appended = createDeferred();
    return this.fault === 'answer-lost' ? Err(unreachable) : Ok(firstOffset);
  }

  async read(
    name: string,
    fromOffset: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<LogPage, LogServiceError>> {
    const stream = this.stream(name);
    if (this.fault !== 'outage' && fromOffset >= stream.endOffset && waitMs > 0) {
      const timer = new AbortController();
      const either = AbortSignal.any([signal, timer.signal]);
      await Promise.race([stream.appended.promise, this.clock.sleep(waitMs, either)]);
      timer.abort();
    }
    if (this.fault === 'outage' || signal.aborted) {
      return Err(unreachable);
    }
    const records = stream.records.filter(({ offset }) => offset >= fromOffset);
    const oldestOffset = stream.records[0]?.offset ?? stream.endOffset;
    return Ok({ records, oldestOffset, endOffset: stream.endOffset });
  }

  /**
   * Creates the log as one daemon reaches it.
   *
   * @param isCut - tells whether the daemon is cut off from the log now
   */
  reachedBy(isCut: () => boolean): LogService {
    return {
      append: (name, values, signal) =>
        isCut() ? Promise.resolve(Err(unreachable)) : this.append(name, values, signal),
      read: async (name, fromOffset, waitMs, signal) => {
        const page = isCut() ? Err(unreachable) : await this.read(name, fromOffset, waitMs, signal);
        return isCut() ? Err(unreachable) : page;
      },
      close: () => Promise.resolve(),
    };
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  private stream(name: string): FakeStream {
    const known = this.streams.get(name);
    if (known !== undefined) {
      return known;
    }
    const stream: FakeStream = { records: [], endOffset: 0, appended: createDeferred() };
    this.streams.set(name, stream);
    return stream;
  }
}

const unreachable: LogServiceError = { kind: 'unreachable', detail: 'The log is out.' };
