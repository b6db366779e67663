/**
 * What other parts see of a worker: as a holder of runs, as a candidate for a task, and with its forecast.
 */
import type { WorkerOutlook } from '../scheduling/startReservation.js';
import { CapacityProfile } from './capacityProfile.js';
import type { ManagedWorker } from './managedWorker.js';
import type { Candidate } from './workerChoice.js';

/** A worker that has not been released. */
export interface HeldWorker {
  readonly workerId: string;
  readonly address: string;
  /** Whether another daemon has taken it over. */
  readonly isFenced: boolean;
  /** Whether it accepts tasks now. */
  readonly isServing: boolean;
  /** Number of its runs. */
  readonly runCount: number;
}

/** A worker of this daemon as a candidate for a task. */
export interface LocalCandidate extends Candidate {
  readonly worker: ManagedWorker;
}

/** A worker in service, and its slowdown factor. */
export interface ServingWorker {
  readonly worker: ManagedWorker;
  readonly slowness: number;
}

export const toHeld = (worker: ManagedWorker): HeldWorker => ({
  workerId: worker.workerId,
  address: worker.record.address,
  isFenced: worker.isFenced,
  isServing: worker.acceptsTasks,
  runCount: worker.runCount,
});

export const toCandidate = (worker: ManagedWorker, nowMs: number): LocalCandidate => ({
  worker,
  workerId: worker.workerId,
  labels: worker.record.labels,
  free: worker.free,
  startsInMs: 0,
  slowness: worker.speed.slowness(nowMs),
  deliveryMs: 0,
  messageCost: 0,
});

export const toServing = (worker: ManagedWorker, nowMs: number): ServingWorker => ({
  worker,
  slowness: worker.speed.slowness(nowMs),
});

export const toOutlook = (worker: ManagedWorker): WorkerOutlook => ({
  workerId: worker.workerId,
  profile: CapacityProfile.create(worker.unusedCpuMillis, worker.releases()),
});
