/**
 * The workers that this daemon orders, and which of them may get a task.
 */
import type { WorkerLoad } from '../types/fleet.js';
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { WorkerPort } from '../ports/workers.js';
import { fitsInto } from '../types/resources.js';
import type { SpeedMemory } from '../workers/speedMemory.js';
import type { WorkerRecord } from '../types/workers.js';
import { DispatchedWorker } from './dispatchedWorker.js';
import type { DispatchedWorkerOptions } from './dispatchedWorker.js';
import type { BatchedTask } from './openBatch.js';
import { RoomProfile } from './roomProfile.js';
import { stepNameOf, taskNameOf } from './taskNames.js';
import { expectedRunMs, hasRequiredLabel } from './workerChoice.js';
import type { Candidate, TaskDemand } from './workerChoice.js';

export interface ServedWorkersOptions extends Pick<DispatchedWorkerOptions, 'onEnd' | 'onRoom'> {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly workers: WorkerPort;
  readonly leaseMs: number;
  readonly farRackFactor: number;
  /** What is remembered of workers. */
  readonly speeds: SpeedMemory;
}

/** A worker of this daemon as a candidate. */
export interface OwnCandidate extends Candidate {
  readonly worker: DispatchedWorker;
}

/** A worker with its room, as tasks that wait will take it. */
interface WorkerRoom {
  readonly worker: DispatchedWorker;
  readonly slowness: number;
  readonly profile: RoomProfile;
}

export class ServedWorkers {
  private readonly served = new Map<string, DispatchedWorker>();

  private constructor(private readonly options: ServedWorkersOptions) {}

  static create(options: ServedWorkersOptions): ServedWorkers {
    return new ServedWorkers(options);
  }

  /**
   * Sets the workers.
   *
   * @param records - their entries
   * @param fencingToken - the token of the grant
   * @returns a promise that resolves when the others are let go
   */
  async serve(records: readonly WorkerRecord[], fencingToken: number): Promise<void> {
    const wanted = new Map(records.map((record) => [record.workerId, record]));
    const released: Promise<void>[] = [];
    for (const [workerId, worker] of this.served) {
      const record = wanted.get(workerId);
      if (record === undefined) {
        released.push(this.release(workerId, worker));
      } else if (worker.isFor(record)) {
        worker.update(record, fencingToken);
      } else {
        this.served.delete(workerId);
        released.push(worker.close());
      }
    }
    for (const [workerId, record] of wanted) {
      if (!this.served.has(workerId)) {
        this.served.set(workerId, this.startServing(record, fencingToken));
      }
    }
    await Promise.all(released);
  }

  /** Tells the room of each worker, when the tasks that wait have their places. */
  loads(waiting: readonly BatchedTask[]): WorkerLoad[] {
    const rooms = this.rooms();
    waiting.forEach((task) => placeFirst(task, rooms));
    return rooms.map(({ worker, slowness, profile }) => ({
      workerId: worker.workerId,
      free: { ...worker.free, cpuMillis: profile.free },
      slowness: round(slowness),
      isOpen: worker.isOpen,
      releases: [...profile.releases],
    }));
  }

  /**
   * Finds the tasks that would wait longer for room than they may.
   *
   * @param waiting - all tasks that wait, in their order
   */
  findWaitingTooLong(waiting: readonly BatchedTask[]): BatchedTask[] {
    const rooms = this.rooms();
    return waiting.filter((task) => placeFirst(task, rooms) > task.batch.content.maxWaitMs);
  }

  /** Time on the fastest worker that may get the task, room or not; nothing if there is none. */
  fastestMs(task: BatchedTask, demand: TaskDemand): number | undefined {
    const nowMs = this.options.clock.nowMs();
    let fastestMs: number | undefined;
    for (const worker of this.served.values()) {
      if (!mayEverRun(worker, task)) {
        continue;
      }
      const { labels } = worker.current;
      const slowness = worker.speed.slowness(nowMs);
      const ms = expectedRunMs(demand, { slowness, labels }, this.options.farRackFactor);
      fastestMs = Math.min(ms, fastestMs ?? ms);
    }
    return fastestMs;
  }

  /** @returns the workers that may start a task now, if it fits */
  candidatesFor(task: BatchedTask): OwnCandidate[] {
    const nowMs = this.options.clock.nowMs();
    return [...this.served.values()]
      .filter((worker) => mayStart(worker, task))
      .map((worker) => ({
        worker,
        workerId: worker.workerId,
        labels: worker.current.labels,
        free: worker.free,
        startsInMs: 0,
        slowness: worker.speed.slowness(nowMs),
        distanceMs: 0,
        reachCost: 0,
      }));
  }

  /** Stops the run of a task, wherever it is. */
  stopTask(task: BatchedTask): void {
    const taskName = taskNameOf(task);
    this.served.forEach((worker) => worker.stopTask(taskName));
  }

  async close(): Promise<void> {
    await Promise.all([...this.served.values()].map((worker) => worker.close()));
  }

  private startServing(record: WorkerRecord, fencingToken: number): DispatchedWorker {
    const rememberedSlowness = this.options.speeds.get(record.workerId);
    return DispatchedWorker.create({ ...this.options, record, fencingToken, rememberedSlowness });
  }

  private async release(workerId: string, worker: DispatchedWorker): Promise<void> {
    await worker.drain();
    if (!worker.isKept && this.served.get(workerId) === worker) {
      this.served.delete(workerId);
    }
  }

  private rooms(): WorkerRoom[] {
    const nowMs = this.options.clock.nowMs();
    return [...this.served.values()].map((worker) => ({
      worker,
      slowness: worker.speed.slowness(nowMs),
      profile: RoomProfile.create(worker.free.cpuMillis, worker.releases()),
    }));
  }
}

/**
 * Takes the room that a waiting task will get first.
 *
 * @returns its expected wait, in milliseconds
 */
const placeFirst = ({ batch }: BatchedTask, rooms: readonly WorkerRoom[]): number => {
  const { needs, estimatedMs } = batch.content;
  const { cpuMillis } = needs.resources;
  let best: WorkerRoom | undefined;
  let bestEndMs = Infinity;
  for (const room of rooms) {
    const endMs = room.profile.startsInMs(cpuMillis) + estimatedMs * room.slowness;
    if (room.worker.isOpen && endMs < bestEndMs) {
      best = room;
      bestEndMs = endMs;
    }
  }
  if (best === undefined) {
    return Infinity;
  }
  const waitMs = best.profile.startsInMs(cpuMillis);
  best.profile.take(cpuMillis, Math.round(estimatedMs * best.slowness));
  return waitMs;
};

const mayEverRun = (
  worker: DispatchedWorker,
  { batch, avoidedWorkerIds }: BatchedTask,
): boolean => {
  const { needs, serviceId } = batch.content;
  const { capacity, labels } = worker.current;
  const isInService = worker.isOpen || (worker.isKept && worker.runCount > 0);
  return (
    isInService &&
    worker.current.serviceId === serviceId &&
    !avoidedWorkerIds.has(worker.workerId) &&
    fitsInto(needs.resources, capacity) &&
    hasRequiredLabel(needs, labels)
  );
};

const mayStart = (worker: DispatchedWorker, task: BatchedTask): boolean => {
  const { batch, avoidedWorkerIds } = task;
  const { serviceId, needs } = batch.content;
  const isFull =
    needs.maxPerWorker !== undefined && worker.countStep(stepNameOf(batch)) >= needs.maxPerWorker;
  return (
    worker.isOpen &&
    !isFull &&
    worker.current.serviceId === serviceId &&
    !avoidedWorkerIds.has(worker.workerId) &&
    !worker.hasTask(taskNameOf(task))
  );
};

const round = (value: number): number => Math.round(value * 100) / 100;
