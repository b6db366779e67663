/** Port to the platform's append-only log service. */
import type { Result } from 'ts-results-es';

/** Why the log service gave no answer; an append may have taken effect nevertheless. */
export interface LogServiceError {
  readonly kind: 'unreachable' | 'refused';
  readonly detail: string;
}

export interface LogRecord {
  readonly offset: number;
  readonly value: unknown;
}

/** One read of a stream. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  /** Offset of the oldest record that the log retains. */
  readonly oldestOffset: number;
  /** Offset that the next append will get. */
  readonly endOffset: number;
}

export interface LogService {
  /**
   * Appends records, which get consecutive offsets.
   *
   * @returns the offset of the first one
   */
  append(
    stream: string,
    values: readonly unknown[],
    signal: AbortSignal,
  ): Promise<Result<number, LogServiceError>>;
  /**
   * Reads records from an offset on.
   *
   * @param waitMs - longest wait for a first record, in milliseconds
   * @param signal - cancels the read
   */
  read(
    stream: string,
    fromOffset: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<LogPage, LogServiceError>>;
  close(): Promise<void>;
}
