/**
 * Whether something outside can be reached; logs when it is lost and when it is back.
 */
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';

export class Dependency {
  private lostAtMs: number | undefined;

  private constructor(
    private readonly name: string,
    private readonly logger: Logger,
    private readonly clock: Clock,
  ) {}

  /**
   * @param name - what it is, as the log names it
   * @param logger - where losses are told
   * @param clock - the time of this process
   */
  static create(name: string, logger: Logger, clock: Clock): Dependency {
    return new Dependency(name, logger, clock);
  }

  get isLost(): boolean {
    return this.lostAtMs !== undefined;
  }

  noteLost(reason: string): void {
    if (this.lostAtMs === undefined) {
      this.lostAtMs = this.clock.nowMs();
      this.logger.warn(`Lost: ${this.name}.`, { reason });
    }
  }

  noteReached(): void {
    if (this.lostAtMs !== undefined) {
      const durationMs = Math.round(this.clock.nowMs() - this.lostAtMs);
      this.lostAtMs = undefined;
      this.logger.info(`Back: ${this.name}.`, { durationMs });
    }
  }
}
