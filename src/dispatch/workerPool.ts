/**
 * The workers to which this daemon dispatches, and which of them may run a task.
 */
import type { WorkerLoad } from '../types/fleet.js';
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { WorkerPort } from '../ports/workers.js';
import type { TaskSupervisor } from '../utils/taskSupervisor.js';
import type { WorkerSpeedCache } from '../workers/workerSpeedCache.js';
import type { WorkerRecord } from '../types/workers.js';
import { ActiveTasks } from './activeTasks.js';
import { ManagedWorker } from './managedWorker.js';
import type { ManagedWorkerOptions } from './managedWorker.js';
import type { LeaseTimes } from './leaseTimes.js';
import type { BatchedTask } from './openBatch.js';
import type { Addressee } from './silenceEvidence.js';
import { UnansweredStarts } from './unansweredStarts.js';
import { isSuspect, reserveWorker } from './suspectIsolation.js';
import { taskNameOf } from './taskNames.js';
import { expectedRunMs } from './workerChoice.js';
import type { TaskDemand } from './workerChoice.js';
import { canStartNow, fits, isEligible } from './workerEligibility.js';
import type { WorkerOutlook } from '../scheduling/startReservation.js';
import { WorkerForecast } from './workerForecast.js';
import { toCandidate, toHeld, toOutlook, toServing } from './workerViews.js';
import type { HeldWorker, LocalCandidate, ServingWorker } from './workerViews.js';

export interface WorkerPoolOptions extends Pick<
  ManagedWorkerOptions,
  'beforeOrders' | 'onEnd' | 'onLifetime' | 'onUnanswered' | 'onTakeOver' | 'onAvailabilityChange'
> {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly workers: WorkerPort;
  readonly leaseTimes: LeaseTimes;
  readonly farRackFactor: number;
  readonly supervisor: TaskSupervisor;
  /** Slowdown factors of workers that other dispatchers measured earlier. */
  readonly speeds: WorkerSpeedCache;
}

export class WorkerPool {
  private readonly workers = new Map<string, ManagedWorker>();
  private readonly activeTasks = ActiveTasks.create();
  private readonly unanswered: UnansweredStarts;
  /** The workers in service, while a pass over the waiting tasks goes on. */
  private servingWorkers: readonly ServingWorker[] | undefined;
  /** Workers at an earlier address of theirs, until their runs there are proved to have ended. */
  private readonly retired = new Set<ManagedWorker>();

  private constructor(private readonly options: WorkerPoolOptions) {
    this.unanswered = UnansweredStarts.create(options.clock);
  }

  static create(options: WorkerPoolOptions): WorkerPool {
    return new WorkerPool(options);
  }

  get size(): number {
    return this.workers.size;
  }

  /**
   * Sets the workers. Those that are no longer listed are drained; those that are listed at another address
   * are managed anew there, and retired at the earlier one.
   *
   * @param records - their entries in the store
   * @param fencingToken - the token of the grant of their shards
   * @param keptIds - those that are kept with the token that they have, since the grant no longer contains them
   * @returns a promise that resolves when all other workers are released
   */
  async setWorkers(
    records: readonly WorkerRecord[],
    fencingToken: number,
    keptIds: ReadonlySet<string> = new Set(),
  ): Promise<void> {
    const wanted = new Map(records.map((record) => [record.workerId, record]));
    const released: Promise<void>[] = [];
    for (const [workerId, worker] of this.workers) {
      const record = wanted.get(workerId);
      if (record === undefined) {
        released.push(this.drainAndRemove(worker));
      } else if (worker.record.address === record.address) {
        worker.update(record, keptIds.has(workerId) ? 0 : fencingToken);
      } else {
        this.workers.delete(workerId);
        this.unanswered.forgetWorker(workerId);
        released.push(this.retire(worker, 'nobody'));
      }
    }
    for (const [workerId, record] of wanted) {
      if (!this.workers.has(workerId) && !keptIds.has(workerId)) {
        this.workers.set(workerId, this.createWorker(record, fencingToken));
      }
    }
    await Promise.all(released);
  }

  /** Lists the workers that are not released yet. */
  listHeld(): HeldWorker[] {
    return [...this.workers.values()].map(toHeld);
  }

  /** Computes the free capacity of each worker after the waiting tasks have reserved theirs. */
  computeLoads(waiting: readonly BatchedTask[]): WorkerLoad[] {
    const forecast = this.forecast();
    waiting.filter((task) => !isSuspect(task)).forEach((task) => forecast.reserve(task));
    return forecast.loads();
  }

  /**
   * Finds the tasks whose expected wait for free capacity is longer than their batch allows. Suspects wait
   * for a worker of their own instead.
   *
   * @param waiting - all waiting tasks, in the order in which they reserve capacity
   */
  findTasksExceedingMaxWait(waiting: readonly BatchedTask[]): BatchedTask[] {
    const forecast = this.forecast();
    return waiting.filter(
      (task) => !isSuspect(task) && forecast.reserve(task) > task.batch.content.maxWaitMs,
    );
  }

  /**
   * Returns the expected run time on the fastest eligible worker, whether or not it has free
   * capacity now, in milliseconds; undefined if no worker is eligible. The worker that a task is bound to is waited for.
   */
  fastestRunMs(task: BatchedTask, demand: TaskDemand): number | undefined {
    const nowMs = this.options.clock.nowMs();
    let fastestRunMs: number | undefined;
    const bound = this.boundWorkerOf(task);
    const serving = this.servingWorkers ?? this.listServing();
    for (const { worker, slowness } of bound === undefined ? serving : [toServing(bound, nowMs)]) {
      if (
        bound === undefined &&
        (task.avoidedWorkerIds.has(worker.workerId) || !fits(worker, task))
      ) {
        continue;
      }
      const { labels } = worker.record;
      const runMs = expectedRunMs(demand, { slowness, labels }, this.options.farRackFactor);
      fastestRunMs = Math.min(runMs, fastestRunMs ?? runMs);
    }
    return fastestRunMs;
  }

  /**
   * Calls a function that starts tasks and waits for nothing meanwhile. The workers in service are listed only once for it:
   * a start takes no worker out of service, and everything else that does is an event of its own.
   */
  duringPass(startTasks: () => void): void {
    this.servingWorkers = this.listServing();
    try {
      startTasks();
    } finally {
      this.servingWorkers = undefined;
    }
  }

  /** @returns the workers with free cores that may start a task now; other resources and labels are not yet checked */
  candidatesFor(task: BatchedTask): LocalCandidate[] {
    const { cpuMillis } = task.batch.content.needs.resources;
    const nowMs = this.options.clock.nowMs();
    return this.listAllowed(task)
      .filter((worker) => worker.unusedCpuMillis >= cpuMillis && canStartNow(worker, task))
      .map((worker) => toCandidate(worker, nowMs));
  }

  /** @returns the forecasts of the workers that may start a task as soon as their capacity suffices */
  openOutlooks(task: BatchedTask): WorkerOutlook[] {
    return this.listAllowed(task)
      .filter((worker) => canStartNow(worker, task) && fits(worker, task))
      .map(toOutlook);
  }

  /** @returns the worker on which a suspect may start alone now, if there is one */
  isolatedCandidateFor(task: BatchedTask): LocalCandidate[] {
    const worker = reserveWorker(task, this.listAllowed(task), (one) => isEligible(one, task));
    const canStart = worker?.runCount === 0 && worker.canRunUntil(task.batch.runsUntilMs);
    return canStart ? [toCandidate(worker, this.options.clock.nowMs())] : [];
  }

  /** Whether a run of a task, asked for by whichever batch, is not proved to have ended. */
  hasRunOf(task: BatchedTask): boolean {
    return this.activeTasks.has(taskNameOf(task));
  }

  /** Whether only this worker may run a task, since a start of it that was never answered may still arrive there. */
  isBoundTo(task: BatchedTask, workerId: string): boolean {
    return this.boundWorkerOf(task)?.workerId === workerId;
  }

  /** Stops the run of a task on whichever worker has it. */
  stopTask(task: BatchedTask): void {
    this.listAll().forEach((worker) => worker.stopTask(task));
  }

  /** Stops the runs of all workers and releases each worker once its runs are proved to have ended. */
  async retireAll(): Promise<void> {
    await Promise.all(this.listAll().map((worker) => this.retire(worker, 'worker')));
  }

  /** Releases all workers at once; runs that have not ended are reported as unknown. */
  async close(): Promise<void> {
    await Promise.all(this.listAll().map((worker) => worker.close()));
  }

  /** Lists the workers on which a task may start as far as its earlier starts go. */
  private listAllowed(task: BatchedTask): ManagedWorker[] {
    const bound = this.boundWorkerOf(task);
    if (bound === undefined) {
      return [...this.workers.values()];
    }
    return this.unanswered.bindingOf(taskNameOf(task))?.kind === 'confirmed' ? [bound] : [];
  }

  /**
   * Returns the only worker that may run a task, if there is one. One that is leaving binds none, and neither does one that
   * has become too small or of another kind, which refuses the late start.
   */
  private boundWorkerOf(task: BatchedTask): ManagedWorker | undefined {
    const binding = this.unanswered.bindingOf(taskNameOf(task));
    const worker = binding === undefined ? undefined : this.workers.get(binding.workerId);
    return worker?.isAssigned === true && fits(worker, task) ? worker : undefined;
  }

  private listAll(): ManagedWorker[] {
    return [...this.workers.values(), ...this.retired];
  }

  private async retire(worker: ManagedWorker, addressee: Addressee): Promise<void> {
    this.retired.add(worker);
    await worker.retire(addressee);
    this.retired.delete(worker);
  }

  private createWorker(record: WorkerRecord, fencingToken: number): ManagedWorker {
    const rememberedSlowness = this.options.speeds.get(record.workerId);
    const { activeTasks, unanswered, options } = this;
    return ManagedWorker.create({
      ...options,
      ...{ activeTasks, unanswered },
      onLifetime: (workerId, answering) => {
        if (answering.kind === 'replaced') {
          unanswered.forgetWorker(workerId);
        }
        options.onLifetime(workerId, answering);
      },
      record,
      fencingToken,
      rememberedSlowness,
    });
  }

  private async drainAndRemove(worker: ManagedWorker): Promise<void> {
    const { workerId } = worker;
    await worker.drain();
    if (!worker.isAssigned && this.workers.get(workerId) === worker) {
      this.workers.delete(workerId);
      this.unanswered.forgetWorker(workerId);
    }
  }

  private listServing(): ServingWorker[] {
    const nowMs = this.options.clock.nowMs();
    const serving: ServingWorker[] = [];
    for (const worker of this.workers.values()) {
      if (worker.isInService) {
        serving.push(toServing(worker, nowMs));
      }
    }
    return serving;
  }

  private forecast(): WorkerForecast {
    return WorkerForecast.create([...this.workers.values()], this.options.clock.nowMs());
  }
}
