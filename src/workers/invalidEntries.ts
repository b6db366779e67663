/**
 * Entries of the store from which no worker can be read: each one is counted, and logged once for each key and reason.
 */
import type { Logger } from '../ports/logger.js';
import type { Metrics } from '../ports/metrics.js';

/** Most keys that are remembered; the one reported first is forgotten first. */
const maxKeys = 1_024;
/** Part of a key that is logged, in characters. */
const loggedKeyLength = 64;

export class InvalidEntries {
  /** Why the newest entry of a key is not valid, as it was logged, by key. */
  private readonly reasons = new Map<string, string>();

  private constructor(
    private readonly logger: Logger,
    private readonly metrics: Metrics,
  ) {}

  static create(logger: Logger, metrics: Metrics): InvalidEntries {
    return new InvalidEntries(logger, metrics);
  }

  /** Counts an invalid entry, and logs it unless it was for the same reason. */
  report(key: string, reason: string): void {
    this.metrics.count('worker_entries_skipped');
    if (this.reasons.get(key) === reason) {
      return;
    }
    this.remember(key, reason);
    const workerId = key.slice(0, loggedKeyLength);
    this.logger.warn('The entry of a worker is not valid.', { workerId, reason });
  }

  /** Forgets a key, whose newest entry is valid or removed. */
  forget(key: string): void {
    this.reasons.delete(key);
  }

  private remember(key: string, reason: string): void {
    this.reasons.delete(key);
    this.reasons.set(key, reason);
    const [oldest] = this.reasons.keys();
    if (this.reasons.size > maxKeys && oldest !== undefined) {
      this.reasons.delete(oldest);
    }
  }
}
