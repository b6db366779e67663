/**
 * Stops orphaned runs, which a worker reports but this dispatcher did not start or has given up.
 */
import type { ReportedRun } from '../types/workers.js';

/** Sends one stop order; resolves to whether the worker has acknowledged it. */
export type StopOrphan = (orphan: ReportedRun) => Promise<boolean>;

export class OrphanedRuns {
  private readonly stopping = new Set<string>();

  private constructor(private readonly send: StopOrphan) {}

  static create(send: StopOrphan): OrphanedRuns {
    return new OrphanedRuns(send);
  }

  /**
   * Orders the stop of a run, unless an order for it is in flight. Has to be called again with each
   * report that still lists the run.
   */
  stop(orphan: ReportedRun): void {
    const key = `${orphan.taskName} ${orphan.run}`;
    if (!this.stopping.has(key)) {
      this.stopping.add(key);
      void this.send(orphan).finally(() => this.stopping.delete(key));
    }
  }
}
