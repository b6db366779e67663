/**
 * Appends claims to the log in batches, within a rate of appends that all daemons share.
 */
import type { Clock } from '../ports/clock.js';
import type { LogService } from '../ports/logService.js';
import { createDeferred } from '../utils/deferred.js';
import type { Deferred } from '../utils/deferred.js';
import { withTimeout } from '../utils/withTimeout.js';
import { claimStream } from './types.js';
import type { ClaimRecord } from './types.js';

/** Rate of appends of all daemons together. */
const totalAppendsPerS = 200;
/** The rate is divided by at least this number of daemons, however few are reachable. */
const minBudgetDaemons = 8;
const maxBatchRecords = 512;
const appendTimeoutMs = 1_000;
/** Pause after an append that failed. */
const retryPauseMs = 250;
const msPerS = 1_000;

export interface ClaimWriterOptions {
  readonly logService: LogService;
  readonly clock: Clock;
  /** Returns the number of reachable daemons, this one included. */
  readonly countDaemons: () => number;
}

export class ClaimWriter {
  /** Records without an acknowledged append, oldest first. */
  private readonly pending = new Set<ClaimRecord>();
  private readonly stop = new AbortController();
  private readonly done: Promise<void>;
  /** Resolved when a record is added, or when the writer closes. */
  private recordAdded: Deferred<void> = createDeferred();
  /** Monotonic time from which this daemon may append again. */
  private nextAppendAtMs = 0;

  private constructor(private readonly options: ClaimWriterOptions) {
    this.done = this.run();
  }

  static create(options: ClaimWriterOptions): ClaimWriter {
    return new ClaimWriter(options);
  }

  /**
   * Appends a record with the next batch, and again until an append succeeds or it is withdrawn.
   */
  add(record: ClaimRecord): void {
    this.pending.add(record);
    this.recordAdded.resolve();
  }

  /** Stops appending a record; an append in flight may still take effect. */
  withdraw(record: ClaimRecord): void {
    this.pending.delete(record);
  }

  async close(): Promise<void> {
    this.stop.abort();
    this.recordAdded.resolve();
    await this.done;
  }

  private async run(): Promise<void> {
    const { signal } = this.stop;
    while (!signal.aborted) {
      if (this.pending.size === 0) {
        this.recordAdded = createDeferred();
        await this.recordAdded.promise;
        continue;
      }
      await this.awaitAppendTurn();
      await this.appendBatch();
    }
  }

  /** Waits until the rate allows the next append, and counts it. */
  private async awaitAppendTurn(): Promise<void> {
    const { clock, countDaemons } = this.options;
    await clock.sleep(this.nextAppendAtMs - clock.nowMs(), this.stop.signal);
    const daemons = Math.max(minBudgetDaemons, countDaemons());
    this.nextAppendAtMs = clock.nowMs() + (daemons * msPerS) / totalAppendsPerS;
  }

  /**
   * Appends one batch. An append without acknowledgement may be repeated: the stream decides, not
   * the acknowledgement, and a record that is on the stream twice counts once.
   */
  private async appendBatch(): Promise<void> {
    const { logService, clock } = this.options;
    const batch = [...this.pending].slice(0, maxBatchRecords);
    if (batch.length === 0) {
      return;
    }
    const reply = await withTimeout(clock, appendTimeoutMs, (signal) =>
      logService.append(claimStream, batch, signal),
    );
    if (reply?.isOk() === true) {
      batch.forEach((record) => this.pending.delete(record));
      return;
    }
    await clock.sleep(retryPauseMs, this.stop.signal);
  }
}
