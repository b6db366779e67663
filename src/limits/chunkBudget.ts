/**
 * Limits how many chunks of bodies are read in a second, whatever their size, since each takes a call of the parser: a token
 * bucket that holds the chunks of one second.
 */
import type { Clock } from '../ports/clock.js';

const msPerS = 1_000;

export class ChunkBudget {
  private tokens: number;
  /** Monotonic time of the last refill. */
  private refilledAtMs: number;

  private constructor(
    private readonly clock: Clock,
    private readonly chunksPerS: number,
  ) {
    this.tokens = chunksPerS;
    this.refilledAtMs = clock.nowMs();
  }

  static create(clock: Clock, chunksPerS: number): ChunkBudget {
    return new ChunkBudget(clock, chunksPerS);
  }

  /**
   * Counts one chunk.
   *
   * @returns whether it may be read
   */
  take(): boolean {
    this.refill();
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }

  private refill(): void {
    const nowMs = this.clock.nowMs();
    const added = ((nowMs - this.refilledAtMs) / msPerS) * this.chunksPerS;
    this.tokens = Math.min(this.tokens + added, this.chunksPerS);
    this.refilledAtMs = nowMs;
  }
}
