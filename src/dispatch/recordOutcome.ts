/**
 * What the end of a run says about its worker.
 */
import { unreachable } from '../errors/unreachable.js';
import type { ActiveRun } from './activeRun.js';
import type { ManagedWorker } from './managedWorker.js';
import type { ListedEnd, RunEvidence } from './runEvidence.js';

/**
 * Records what is known of a run in the health and the speed of its worker.
 *
 * @param worker - the worker
 * @param run - the run
 * @param evidence - what is known of it
 * @param nowMs - monotonic time
 */
export const recordOutcome = (
  worker: ManagedWorker,
  run: ActiveRun,
  evidence: RunEvidence,
  nowMs: number,
): void => {
  switch (evidence.kind) {
    case 'ended':
      recordListedEnd(worker, run, evidence.end, nowMs);
      return;
    case 'stopped':
    case 'lapsed':
    case 'gone-with-lifetime':
    case 'never-accepted':
    case 'absent':
    case 'start-in-doubt':
    case 'unknown':
      return;
    default:
      return unreachable(evidence);
  }
};

const recordListedEnd = (
  worker: ManagedWorker,
  run: ActiveRun,
  end: ListedEnd,
  nowMs: number,
): void => {
  switch (end.how) {
    case 'done':
      worker.health.recordSuccess();
      worker.speed.observe(end.runTimeMs, run.task.batch.content.estimatedMs, nowMs);
      return;
    case 'failed':
      worker.health.recordFault();
      return;
    case 'stopped':
    case 'lapsed':
    case 'broken':
    case 'alone':
      return;
    default:
      return unreachable(end);
  }
};
