/**
 * Follows the configuration stream of the platform's log.
 */
import type { Clock } from '../ports/clock.js';
import type { LogRecord, LogService } from '../ports/logService.js';
import type { Logger } from '../ports/logger.js';
import type { ConfigurationStore } from './configurationStore.js';
import { configurationRecordSchema } from './types.js';

export const configurationStream = 'configuration';

const readWaitMs = 2_000;
const retryPauseMs = 250;

/** What the follower needs. */
export interface FollowerOptions {
  readonly logService: LogService;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: ConfigurationStore;
}

export class ConfigurationFollower {
  private readonly stop = new AbortController();
  private readonly logger: Logger;
  private readonly done: Promise<void>;

  private constructor(private readonly options: FollowerOptions) {
    this.logger = options.logger.forPart('configuration');
    this.done = this.follow();
  }

  static create(options: FollowerOptions): ConfigurationFollower {
    return new ConfigurationFollower(options);
  }

  async close(): Promise<void> {
    this.stop.abort();
    await this.done;
  }

  private async follow(): Promise<void> {
    const { logService, clock } = this.options;
    let fromOffset = 0;
    while (!this.stop.signal.aborted) {
      const page = await logService.read(
        configurationStream,
        fromOffset,
        readWaitMs,
        this.stop.signal,
      );
      if (page.isErr()) {
        await clock.sleep(retryPauseMs, this.stop.signal);
        continue;
      }
      page.value.records.forEach((record) => this.accept(record));
      const last = page.value.records.at(-1);
      fromOffset = last === undefined ? fromOffset : last.offset + 1;
    }
  }

  private accept(entry: LogRecord): void {
    const parsed = configurationRecordSchema.safeParse(entry.value);
    if (!parsed.success) {
      this.logger.warn('A record is not valid and is passed over.', { count: entry.offset });
      return;
    }
    const record = parsed.data;
    const { store } = this.options;
    if (store.version !== 0 && record.baseVersion !== store.version) {
      this.logger.info('A record does not replace the version in force and is passed over.', {
        version: record.version,
      });
      return;
    }
    if (store.apply(record)) {
      this.logger.info('A version came into force.', { version: record.version });
    }
  }
}
