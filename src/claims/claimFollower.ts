/**
 * Reads the stream of claims into the index: first all records that the log keeps, then new ones as
 * they are appended.
 */
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { LogPage, LogService } from '../ports/logService.js';
import type { ClaimIndex } from './claimIndex.js';
import { claimRecordSchema, claimStream } from './types.js';

/** Time that a read waits at the log for a new record. */
const readWaitMs = 2_000;
/** Pause after a read that failed. */
const retryPauseMs = 250;

export interface ClaimFollowerOptions {
  readonly logService: LogService;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly index: ClaimIndex;
}

export class ClaimFollower {
  private readonly stop = new AbortController();
  private readonly done: Promise<void>;
  /** Offset of the next record to read. */
  private nextOffset = 0;

  private constructor(private readonly options: ClaimFollowerOptions) {
    this.done = this.follow();
  }

  static create(options: ClaimFollowerOptions): ClaimFollower {
    return new ClaimFollower(options);
  }

  async close(): Promise<void> {
    this.stop.abort();
    await this.done;
  }

  private async follow(): Promise<void> {
    const { logService, clock } = this.options;
    const { signal } = this.stop;
    while (!signal.aborted) {
      // The first reads do not wait for new records, so that the end of the stream is found soon.
      const waitMs = this.options.index.hasCoverage ? readWaitMs : 0;
      const page = await logService.read(claimStream, this.nextOffset, waitMs, signal);
      if (page.isOk()) {
        this.processPage(page.value);
      } else {
        await clock.sleep(retryPauseMs, signal);
      }
    }
  }

  /**
   * Adds the records of a page to the index. A page that starts after the next offset, or a log
   * that ends before it, shows that records are missing.
   */
  private processPage(page: LogPage): void {
    const { index, logger } = this.options;
    if (page.oldestOffset > this.nextOffset || page.endOffset < this.nextOffset) {
      logger.warn('The log dropped claims before they were read.', { count: page.oldestOffset });
      index.recordGap();
      this.nextOffset = page.oldestOffset;
    }
    for (const { offset, value } of page.records) {
      const parsed = claimRecordSchema.safeParse(value);
      if (parsed.success) {
        index.add(offset, parsed.data);
      } else {
        logger.warn('A claim is not valid and is skipped.', { count: offset });
      }
      this.nextOffset = offset + 1;
    }
    if (this.nextOffset >= page.endOffset) {
      index.recordEndReached();
    }
    index.prune(page.oldestOffset);
  }
}
