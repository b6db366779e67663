/**
 * A process load that a test sets.
 */
import type { ProcessLoad } from '../ports/processLoad.js';

export class FakeProcessLoad implements ProcessLoad {
  /** Delay of the event loop. */
  delayMs = 0;
  /** Used share of the memory, between 0 and 1. */
  usedShare = 0;

  private constructor() {
    // Built by create.
  }

  static create(): FakeProcessLoad {
    return new FakeProcessLoad();
  }

  eventLoopDelayMs(): number {
    return this.delayMs;
  }

  memoryShare(): number {
    return this.usedShare;
  }

  close(): void {
    // Nothing to release.
  }
}
