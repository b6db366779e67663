/**
 * The slowdown factor that the dispatcher of each worker reported last, so that the next dispatcher
 * does not have to measure it anew.
 */
import type { WorkerSlowdown } from '../types/learned.js';

/** Largest number of workers; those whose factor was reported longest ago are removed. */
const maxWorkers = 4_096;

export class WorkerSpeedCache {
  private readonly byWorker = new Map<string, number>();

  private constructor() {
    // Built by create.
  }

  static create(): WorkerSpeedCache {
    return new WorkerSpeedCache();
  }

  /** Records the factor that a dispatcher reports of its own worker. */
  record({ workerId, slowness }: WorkerSlowdown): void {
    this.byWorker.delete(workerId);
    this.byWorker.set(workerId, slowness);
    const [oldest] = this.byWorker.keys();
    if (this.byWorker.size > maxWorkers && oldest !== undefined) {
      this.byWorker.delete(oldest);
    }
  }

  /** Records a factor from another daemon's cache or the store, unless one is already known. */
  recordIfAbsent(remembered: WorkerSlowdown): void {
    if (!this.byWorker.has(remembered.workerId)) {
      this.record(remembered);
    }
  }

  get(workerId: string): number | undefined {
    return this.byWorker.get(workerId);
  }

  list(): WorkerSlowdown[] {
    return [...this.byWorker].map(([workerId, slowness]) => ({ workerId, slowness }));
  }
}
