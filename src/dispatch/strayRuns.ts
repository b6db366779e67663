/**
 * Runs that a worker has and nobody asks for: each is stopped, with one order at a time.
 */
import type { ReportedRun } from '../types/workers.js';

export type StopStray = (stray: ReportedRun) => Promise<boolean>;

export class StrayRuns {
  private readonly stopping = new Set<string>();

  private constructor(private readonly send: StopStray) {}

  static create(send: StopStray): StrayRuns {
    return new StrayRuns(send);
  }

  /** Stops a run; called again for as long as the worker reports it. */
  stop(stray: ReportedRun): void {
    const key = `${stray.taskName} ${stray.run}`;
    if (!this.stopping.has(key)) {
      this.stopping.add(key);
      void this.send(stray).finally(() => this.stopping.delete(key));
    }
  }
}
