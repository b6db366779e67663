/**
 * Appends claims in groups under a budget of appends that all daemons share.
 */
import type { Clock } from '../ports/clock.js';
import type { LogService } from '../ports/logService.js';
import { createDeferred } from '../utils/deferred.js';
import type { Deferred } from '../utils/deferred.js';
import { within } from '../utils/within.js';
import { claimStream } from './types.js';
import type { ClaimRecord } from './types.js';

/** Appends of all daemons together. */
const sharedAppendsPerS = 200;
/** Daemons that the budget is shared by at least, however few are heard. */
const minSharers = 8;
const maxBatchRecords = 512;
const appendTimeoutMs = 1_000;
const retryPauseMs = 250;
const msPerS = 1_000;

export interface ClaimWriterOptions {
  readonly logService: LogService;
  readonly clock: Clock;
  /** Number of live daemons, this one included. */
  readonly countDaemons: () => number;
}

export class ClaimWriter {
  private readonly pending = new Set<ClaimRecord>();
  private readonly stop = new AbortController();
  private readonly done: Promise<void>;
  private arrived: Deferred<void> = createDeferred();
  private nextAppendAtMs = 0;

  private constructor(private readonly options: ClaimWriterOptions) {
    this.done = this.write();
  }

  static create(options: ClaimWriterOptions): ClaimWriter {
    return new ClaimWriter(options);
  }

  /** Appends a record with the next group, and again until it is withdrawn. */
  add(record: ClaimRecord): void {
    this.pending.add(record);
    this.arrived.resolve();
  }

  /** Stops trying a record; an append on its way may still take effect. */
  withdraw(record: ClaimRecord): void {
    this.pending.delete(record);
  }

  async close(): Promise<void> {
    this.stop.abort();
    this.arrived.resolve();
    await this.done;
  }

  private async write(): Promise<void> {
    const { signal } = this.stop;
    while (!signal.aborted) {
      if (this.pending.size === 0) {
        this.arrived = createDeferred();
        await this.arrived.promise;
        continue;
      }
      await this.takeToken();
      await this.appendGroup();
    }
  }

  private async takeToken(): Promise<void> {
    const { clock, countDaemons } = this.options;
    await clock.sleep(this.nextAppendAtMs - clock.nowMs(), this.stop.signal);
    const sharers = Math.max(minSharers, countDaemons());
    this.nextAppendAtMs = clock.nowMs() + (sharers * msPerS) / sharedAppendsPerS;
  }

  /**
   * Appends one group. The acknowledgement only spares a repetition: the stream tells what counts,
   * and a record that stands there twice counts once.
   */
  private async appendGroup(): Promise<void> {
    const { logService, clock } = this.options;
    const group = [...this.pending].slice(0, maxBatchRecords);
    if (group.length === 0) {
      return;
    }
    const reply = await within(clock, appendTimeoutMs, (signal) =>
      logService.append(claimStream, group, signal),
    );
    if (reply?.isOk() === true) {
      group.forEach((record) => this.pending.delete(record));
      return;
    }
    await clock.sleep(retryPauseMs, this.stop.signal);
  }
}
