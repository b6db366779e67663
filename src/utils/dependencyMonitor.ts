/**
 * Tracks whether a service that the daemon depends on is reachable, and logs every change.
 */
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';

export class DependencyMonitor {
  private unreachableSinceMs: number | undefined;

  private constructor(
    private readonly name: string,
    private readonly logger: Logger,
    private readonly clock: Clock,
  ) {}

  /**
   * @param name - name of the service in log sentences
   * @param logger - logs the changes
   * @param clock - measures how long the service was not reachable
   */
  static create(name: string, logger: Logger, clock: Clock): DependencyMonitor {
    return new DependencyMonitor(name, logger, clock);
  }

  get isUnreachable(): boolean {
    return this.unreachableSinceMs !== undefined;
  }

  /**
   * Records that a call failed.
   *
   * @param reason - detail of the failure, which is logged if the service was reachable before
   */
  recordFailure(reason: string): void {
    if (this.unreachableSinceMs === undefined) {
      this.unreachableSinceMs = this.clock.nowMs();
      this.logger.warn(`Lost: ${this.name}.`, { reason });
    }
  }

  /** Records that a call was answered. */
  recordSuccess(): void {
    if (this.unreachableSinceMs !== undefined) {
      const durationMs = Math.round(this.clock.nowMs() - this.unreachableSinceMs);
      this.unreachableSinceMs = undefined;
      this.logger.info(`Back: ${this.name}.`, { durationMs });
    }
  }
}
