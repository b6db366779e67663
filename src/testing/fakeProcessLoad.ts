/**
 * A process load that a test sets.
 */
import type { ProcessLoad } from '../ports/processLoad.js';

export class FakeProcessLoad implements ProcessLoad {
  /** Delay of the event loop. */
  loopDelayMs = 0;
  /** Used share of the memory, between 0 and 1. */
  usedMemoryShare = 0;

  private constructor() {
    // Built by create.
  }

  static create(): FakeProcessLoad {
    return new FakeProcessLoad();
  }

  eventLoopDelayMs(): number {
    return this.loopDelayMs;
  }

  memoryShare(): number {
    return this.usedMemoryShare;
  }

  close(): void {
    // Nothing to release.
  }
}
