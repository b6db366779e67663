/**
 * How slow each worker was when its dispatcher last told, so that the next dispatcher need not find out.
 */
import type { WorkerSlowness } from '../types/learned.js';

/** Workers that are remembered at the most; the oldest are forgotten. */
const maxWorkers = 4_096;

export class SpeedMemory {
  private readonly byWorker = new Map<string, number>();

  private constructor() {
    // Built by create.
  }

  static create(): SpeedMemory {
    return new SpeedMemory();
  }

  /** Takes what a dispatcher tells of its own worker. */
  note({ workerId, slowness }: WorkerSlowness): void {
    this.byWorker.delete(workerId);
    this.byWorker.set(workerId, slowness);
    const [oldest] = this.byWorker.keys();
    if (this.byWorker.size > maxWorkers && oldest !== undefined) {
      this.byWorker.delete(oldest);
    }
  }

  /** Takes what somebody remembers; what was heard from a dispatcher goes before it. */
  noteRemembered(remembered: WorkerSlowness): void {
    if (!this.byWorker.has(remembered.workerId)) {
      this.note(remembered);
    }
  }

  get(workerId: string): number | undefined {
    return this.byWorker.get(workerId);
  }

  list(): WorkerSlowness[] {
    return [...this.byWorker].map(([workerId, slowness]) => ({ workerId, slowness }));
  }
}
