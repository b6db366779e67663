/**
 * A forecast of the free cores of workers, in which waiting tasks reserve theirs one after the other.
 */
import type { WorkerLoad } from '../types/fleet.js';
import { CapacityProfile } from './capacityProfile.js';
import type { ManagedWorker } from './managedWorker.js';
import type { BatchedTask } from './openBatch.js';

/** A worker with its forecast. */
interface ProfiledWorker {
  readonly worker: ManagedWorker;
  readonly slowness: number;
  readonly profile: CapacityProfile;
}

export class WorkerForecast {
  private constructor(private readonly profiledWorkers: readonly ProfiledWorker[]) {}

  /**
   * @param nowMs - the current monotonic time
   */
  static create(workers: readonly ManagedWorker[], nowMs: number): WorkerForecast {
    const profiledWorkers = workers.map((worker) => ({
      worker,
      slowness: worker.speed.slowness(nowMs),
      profile: CapacityProfile.create(worker.unusedCpuMillis, worker.releases()),
    }));
    return new WorkerForecast(profiledWorkers);
  }

  /**
   * Reserves cores for a waiting task on the worker of its service that accepts tasks and where it is expected to end first.
   *
   * @returns its expected wait, in milliseconds; infinite if no worker ever has enough cores
   */
  reserve({ batch }: BatchedTask): number {
    const { needs, estimatedMs, serviceId } = batch.content;
    const { cpuMillis } = needs.resources;
    let best: ProfiledWorker | undefined;
    let bestEndMs = Infinity;
    for (const profiled of this.profiledWorkers) {
      const endMs = profiled.profile.startsInMs(cpuMillis) + estimatedMs * profiled.slowness;
      const { acceptsTasks, record } = profiled.worker;
      if (acceptsTasks && record.serviceId === serviceId && endMs < bestEndMs) {
        best = profiled;
        bestEndMs = endMs;
      }
    }
    if (best === undefined) {
      return Infinity;
    }
    const waitMs = best.profile.startsInMs(cpuMillis);
    best.profile.reserve(cpuMillis, Math.round(estimatedMs * best.slowness));
    return waitMs;
  }

  /** Lists the capacity of each worker that is left after the reservations. */
  loads(): WorkerLoad[] {
    return this.profiledWorkers.map(({ worker, slowness, profile }) => ({
      workerId: worker.workerId,
      free: { ...worker.free, cpuMillis: profile.free },
      slowness: roundToHundredths(slowness),
      isOpen: worker.acceptsTasks,
      releases: [...profile.releases],
    }));
  }
}

const roundToHundredths = (value: number): number => Math.round(value * 100) / 100;
