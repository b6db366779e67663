/**
 * A log service in memory that can fail as a real one does.
 */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { Clock } from '../ports/clock.js';
import type { LogPage, LogRecord, LogService, LogServiceError } from '../ports/logService.js';
import { createDeferred } from '../utils/deferred.js';
import type { Deferred } from '../utils/deferred.js';

/**
 * Fault of the fake. `outage`: every call fails as unreachable. `answer-lost`: appends take effect, but
 * the caller gets an error; reads work.
 */
export type FakeLogFault = 'none' | 'outage' | 'answer-lost';

interface FakeStream {
  records: LogRecord[];
  /** Offset of the next record. */
  endOffset: number;
  /** Resolved at the next append, then replaced. */
  appended: Deferred<void>;
}

export class FakeLogService implements LogService {
  fault: FakeLogFault = 'none';
  /** Number of newest records that a stream keeps. */
  retainedRecords = Infinity;
  /** Delay before an append takes effect, in milliseconds. */
  appendDelayMs = 0;
  /** Appends that took effect. */
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
      return Err(unreachableError);
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
    return this.fault === 'answer-lost' ? Err(unreachableError) : Ok(firstOffset);
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
      return Err(unreachableError);
    }
    const records = stream.records.filter(({ offset }) => offset >= fromOffset);
    const oldestOffset = stream.records[0]?.offset ?? stream.endOffset;
    return Ok({ records, oldestOffset, endOffset: stream.endOffset });
  }

  /**
   * Creates the log client of one daemon. Its calls fail while the daemon is cut off; so does a read
   * during which that happens.
   *
   * @param isCutOff - returns whether the daemon is cut off from the log now
   */
  createClient(isCutOff: () => boolean): LogService {
    return {
      append: (name, values, signal) =>
        isCutOff() ? Promise.resolve(Err(unreachableError)) : this.append(name, values, signal),
      read: async (name, fromOffset, waitMs, signal) => {
        const page = isCutOff()
          ? Err(unreachableError)
          : await this.read(name, fromOffset, waitMs, signal);
        return isCutOff() ? Err(unreachableError) : page;
      },
      close: () => Promise.resolve(),
    };
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  /** @returns the stream of this name, created at its first use */
  private stream(name: string): FakeStream {
    const existing = this.streams.get(name);
    if (existing !== undefined) {
      return existing;
    }
    const stream: FakeStream = { records: [], endOffset: 0, appended: createDeferred() };
    this.streams.set(name, stream);
    return stream;
  }
}

const unreachableError: LogServiceError = {
  kind: 'unreachable',
  detail: 'The log service is unreachable.',
};
