/**
 * What the outcome of a run says about its worker.
 */
import { unreachable } from '../errors/unreachable.js';
import type { ActiveRun, RunOutcome } from './activeRun.js';
import type { ManagedWorker } from './managedWorker.js';

/**
 * Records the outcome of a run in the health and the speed of its worker.
 *
 * @param worker - the worker
 * @param run - the run that has ended
 * @param outcome - how it ended
 * @param nowMs - monotonic time
 */
export const recordOutcome = (
  worker: ManagedWorker,
  run: ActiveRun,
  outcome: RunOutcome,
  nowMs: number,
): void => {
  switch (outcome.kind) {
    case 'done':
      worker.health.recordSuccess();
      worker.speed.observe(outcome.runTimeMs, run.task.batch.content.estimatedMs, nowMs);
      return;
    case 'failed':
      worker.health.recordFault();
      return;
    case 'invalid':
    case 'used-number':
    case 'not-started':
    case 'lost':
    case 'worker-lost':
      return;
    default:
      return unreachable(outcome);
  }
};
