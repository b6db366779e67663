/**
 * Runs batches of tasks on the workers to which this daemon alone dispatches.
 */
import { causeLabel } from '../explain/causeLabel.js';
import type { MemberLoad, SuspectTask } from '../types/fleet.js';
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { Metrics } from '../ports/metrics.js';
import type { Random } from '../ports/random.js';
import type { WorkerPort } from '../ports/workers.js';
import { TaskSupervisor } from '../utils/taskSupervisor.js';
import type { WorkerSpeedCache } from '../workers/workerSpeedCache.js';
import type { SchedulingPolicy } from '../types/schedulingPolicy.js';
import type { WorkerRecord } from '../types/workers.js';
import type { ActiveRun } from './activeRun.js';
import { composeReply } from './batchReplies.js';
import { BatchTable } from './batchTable.js';
import { CrashSuspects } from './crashSuspects.js';
import type { SuspectSource } from './crashSuspects.js';
import { LapsedRuns } from './lapsedRuns.js';
import { DoubtedStarts } from './doubtedStarts.js';
import type { LeaseTimes } from './leaseTimes.js';
import { LostRuns } from './lostRuns.js';
import type { ManagedWorker } from './managedWorker.js';
import { TaskRetries } from './taskRetries.js';
import { recordOutcome } from './recordOutcome.js';
import { describeEvidence } from './runEvidence.js';
import type { RunEvidence } from './runEvidence.js';
import { OpenBatch } from './openBatch.js';
import { WorkerPool } from './workerPool.js';
import { TaskStarter } from './taskStarter.js';
import type { Batch, BatchReply } from '../types/dispatch.js';

export interface DispatcherOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly workers: WorkerPort;
  readonly leaseTimes: LeaseTimes;
  readonly farRackFactor: number;
  readonly schedulingPolicy: SchedulingPolicy;
  /** Called before tasks are started and leases are renewed; may withdraw batches. */
  readonly beforeOrders?: () => void;
  /** Called when a worker has likely crashed under a task. */
  readonly onLikelyCrash?: () => void;
  /** Slowdown factors of workers that other dispatchers measured earlier. */
  readonly speeds: WorkerSpeedCache;
}

export class Dispatcher {
  /** Tasks under which workers were lost, here or at other dispatchers. */
  readonly suspects: CrashSuspects;
  /** Starts that may still be carried out, of this daemon and of other ones. */
  readonly doubts: DoubtedStarts;
  private readonly batches: BatchTable;
  private readonly workers: WorkerPool;
  private readonly starter: TaskStarter;
  private readonly retries: TaskRetries;
  private readonly lostRuns: LostRuns;
  private readonly logger: Logger;

  private constructor(private readonly options: DispatcherOptions) {
    const logger = options.logger.forPart('dispatch');
    this.logger = logger;
    this.batches = BatchTable.create(options.clock);
    this.suspects = CrashSuspects.create(options.clock, options.onLikelyCrash);
    this.doubts = DoubtedStarts.create(options.clock);
    const supervisor = TaskSupervisor.create(options);
    this.workers = WorkerPool.create({
      ...{ ...options, logger, supervisor },
      onEnd: (worker, run, evidence) => this.ended(worker, run, evidence),
      onLifetime: (workerId, answering) => this.lostRuns.resolveLapsed(workerId, answering),
      onUnanswered: (workerId, run) => this.lostRuns.recordUnanswered(workerId, run),
      onTakeOver: (workerId) => this.doubts.resolveAt(workerId),
      onAvailabilityChange: () => this.starter.startReadyTasks(),
    });
    this.starter = TaskStarter.create({
      ...{ ...options, logger, supervisor },
      workers: this.workers,
      awaitsProof: (task) => this.retries.awaitsProof(task),
    });
    const { starter, suspects, doubts } = this;
    this.retries = TaskRetries.create({
      ...{ logger, starter, suspects, doubts },
      isBoundTo: (task, workerId) => this.workers.isBoundTo(task, workerId),
    });
    const { retries } = this;
    this.lostRuns = LostRuns.create({ logger, lapsedRuns: LapsedRuns.create(), doubts, retries });
  }

  static create(options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options);
  }

  /** Sets the workers to which this daemon dispatches, like `WorkerPool.setWorkers`. */
  setWorkers(...workers: Parameters<WorkerPool['setWorkers']>): Promise<void> {
    const released = this.workers.setWorkers(...workers);
    this.starter.startReadyTasks();
    return released;
  }

  /** Lists the workers that are not released yet. */
  listHeldWorkers(): ReturnType<WorkerPool['listHeld']> {
    return this.workers.listHeld();
  }

  /** Records the entries of all workers, also of those to which other daemons dispatch. */
  recordEntries(records: readonly WorkerRecord[]): void {
    this.lostRuns.resolveListed(records);
  }

  /**
   * Runs a batch. A repeated request joins the batch that is already here.
   *
   * @param askedBy - incarnation of the requester
   * @param content - the batch
   * @param confirmedAgoMs - time since the requester was last known to wait for it
   * @returns how all its tasks ended; a first request gets a partial answer at once if tasks are
   *   returned for lack of capacity
   */
  async run(askedBy: string, content: Batch, confirmedAgoMs = 0): Promise<BatchReply> {
    const confirmedAtMs = this.options.clock.nowMs() - confirmedAgoMs;
    const existing = this.batches.get(content.batchId);
    existing?.confirm(confirmedAtMs);
    const batch = existing ?? this.openBatch(askedBy, content, confirmedAtMs);
    if (
      existing === undefined &&
      this.starter.returnTasksWithoutCapacity(batch) &&
      !batch.hasEnded
    ) {
      return composeReply(batch, { ends: batch.ends, isPartial: true, load: this.load() });
    }
    const ends = await batch.completion;
    return composeReply(batch, { ends, isPartial: false, load: this.load() });
  }

  /**
   * Records that a requester still waits for batches.
   *
   * @param askedBy - incarnation of the requester
   * @param isRequested - returns whether it waits for a batch
   * @param agoMs - time since this was so, in milliseconds
   */
  confirm(askedBy: string, isRequested: (batchId: string) => boolean, agoMs: number): void {
    const atMs = this.options.clock.nowMs() - agoMs;
    this.batches
      .openBatchesOf(askedBy)
      .filter(({ batchId }) => isRequested(batchId))
      .forEach((batch) => batch.confirm(atMs));
  }

  /** Records what another daemon has announced of suspects; tasks that wait here may end by it. */
  recordSuspects(suspects: readonly SuspectTask[], source: SuspectSource): void {
    for (const suspect of suspects) {
      if (this.suspects.recordAnnounced(suspect, source)) {
        this.retries.judgeWaiting(suspect.taskName);
      }
    }
  }

  /** Records that the VM was suspended, in milliseconds, which the monotonic clock omits. */
  recordSuspension(durationMs: number): void {
    this.batches.recordSuspension(durationMs);
  }

  /** Whether a batch is open here, or has ended a short while ago. */
  hasBatch(batchId: string): boolean {
    return this.batches.get(batchId) !== undefined;
  }

  /**
   * Ends a batch whose job has ended: its waiting tasks are removed and its runs stopped. A batch that
   * arrives after its withdrawal ends at once.
   */
  withdraw(batchId: string): void {
    const batch = this.batches.get(batchId);
    if (batch === undefined) {
      this.batches.recordEarlyWithdrawal(batchId);
      return;
    }
    if (batch.hasEnded) {
      return;
    }
    this.starter.removeBatch(batch);
    for (const task of batch.tasks) {
      this.workers.stopTask(task);
      batch.end(task, { kind: 'withdrawn', index: task.index });
    }
    this.starter.startReadyTasks();
  }

  /**
   * Withdraws the batches that their requester no longer asks for.
   *
   * @param askedBy - incarnation of the requester
   * @param isRequested - returns whether the requester still asks for a batch
   * @param minAgeMs - younger batches are kept, since `isRequested` may not know of them yet
   */
  withdrawUnrequested(
    askedBy: string,
    isRequested: (batchId: string) => boolean,
    minAgeMs: number,
  ): void {
    const nowMs = this.options.clock.nowMs();
    for (const batch of this.batches.openBatchesOf(askedBy)) {
      if (nowMs - batch.arrivedAtMs >= minAgeMs && !isRequested(batch.batchId)) {
        this.logger.info('A batch that is no longer requested is withdrawn.', {
          jobId: batch.content.jobId,
          batchId: batch.batchId,
        });
        this.withdraw(batch.batchId);
      }
    }
  }

  /**
   * Withdraws the batches of a requester.
   *
   * @param askedBy - incarnation of the requester
   * @param minAgeMs - younger batches are kept
   */
  withdrawAll(askedBy: string, minAgeMs = 0): void {
    this.withdrawUnrequested(askedBy, () => false, minAgeMs);
  }

  /** @returns incarnations of the requesters whose batches have not ended */
  requesters(): string[] {
    return this.batches.requesters();
  }

  /** Whether a requester has batches here that have not ended. */
  hasBatchesOf(requester: string): boolean {
    return this.batches.hasOpenBatchesOf(requester);
  }

  /** @returns the batches of a job that have not ended */
  openBatchesOfJob(jobId: string): OpenBatch[] {
    return this.batches.openBatchesOfJob(jobId);
  }

  /** @returns number of workers to which this daemon dispatches */
  get workerCount(): number {
    return this.workers.size;
  }

  /** Returns the free capacity of the workers, as reported to the other daemons. */
  load(): MemberLoad {
    return { workers: this.workers.computeLoads(this.starter.listWaiting()) };
  }

  /** Stops all runs; each task is returned once the end of its run is proved. */
  stopRuns(): void {
    void this.workers.retireAll();
  }

  /** Sends no more orders. Tasks whose runs may go on are answered as withdrawn, and none as returned. */
  async close(): Promise<void> {
    this.starter.close();
    await this.workers.close();
  }

  private openBatch(askedBy: string, content: Batch, confirmedAtMs: number): OpenBatch {
    const { clock, leaseTimes } = this.options;
    const confirmation = { confirmedAtMs, confirmationMs: leaseTimes.confirmationMs };
    const batch = OpenBatch.create(askedBy, content, clock.nowMs(), confirmation);
    this.batches.add(batch);
    if (this.batches.wasWithdrawnEarly(content.batchId)) {
      this.withdraw(content.batchId);
      return batch;
    }
    batch.tasks.forEach((task) => this.retries.enqueueNew(task));
    this.starter.startReadyTasks();
    return batch;
  }

  /** Records what is known of a run in its worker's health and speed, then ends or retries the task. */
  private ended(worker: ManagedWorker, run: ActiveRun, evidence: RunEvidence): void {
    const nowMs = this.options.clock.nowMs();
    const slowness = worker.speed.slowness(nowMs);
    recordOutcome(worker, run, evidence, nowMs);
    const description = describeEvidence(evidence);
    const labels = [`outcome:${description.outcome}`, `cause:${causeLabel(description)}`];
    this.options.metrics.count('runs', 1, labels);
    this.logger.info('A run has ended.', {
      ...{ taskName: run.taskName, run: run.run, workerId: worker.workerId },
      durationMs: Math.round(nowMs - run.startSentAtMs),
      expectedMs: Math.round(run.expectedMs),
      ...description,
    });
    this.lostRuns.recordEnd(worker.record, run, evidence);
    if (!run.task.hasEnded) {
      this.retries.endOrRetry(run.task, evidence, { workerId: worker.workerId, slowness });
    }
  }
}
