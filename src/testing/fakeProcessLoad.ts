/**
 * The load of a process, as a test sets it.
 */
import type { ProcessLoad } from '../ports/processLoad.js';

export class FakeProcessLoad implements ProcessLoad {
  delayMs = 0;
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
    // Holds nothing.
  }
}
