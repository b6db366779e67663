/**
 * Runs batches of tasks on the workers that this daemon alone orders.
 */
import { unreachable } from '../errors/unreachable.js';
import { causeLabel } from '../explain/causeLabel.js';
import type { MemberLoad } from '../types/fleet.js';
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { Metrics } from '../ports/metrics.js';
import type { Random } from '../ports/random.js';
import type { WorkerPort } from '../ports/workers.js';
import type { SpeedMemory } from '../workers/speedMemory.js';
import type { WorkerRecord } from '../types/workers.js';
import type { ActiveRun, RunOutcome } from './activeRun.js';
import type { DispatchedWorker } from './dispatchedWorker.js';
import { OpenBatch } from './openBatch.js';
import type { BatchedTask } from './openBatch.js';
import { ServedWorkers } from './servedWorkers.js';
import { TaskStarter } from './taskStarter.js';
import type { Batch, BatchEnd, TaskEnd } from '../types/dispatch.js';

/** Batches are remembered from their arrival for a request that is sent again. */
const rememberMs = 10_000;
/** Numbers that are passed over when a worker has ended a run under the next one. */
const usedNumberStep = 8;

export interface DispatcherOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly workers: WorkerPort;
  readonly leaseMs: number;
  readonly farRackFactor: number;
  /** What is remembered of workers. */
  readonly speeds: SpeedMemory;
}

export class Dispatcher {
  private readonly batches = new Map<string, OpenBatch>();
  private readonly workers: ServedWorkers;
  private readonly starter: TaskStarter;
  private readonly logger: Logger;

  private constructor(private readonly options: DispatcherOptions) {
    const logger = options.logger.forPart('dispatch');
    this.logger = logger;
    this.workers = ServedWorkers.create({
      ...options,
      logger,
      onEnd: (worker, run, outcome) => this.ended(worker, run, outcome),
      onRoom: () => this.starter.review(),
    });
    this.starter = TaskStarter.create({ ...options, logger, workers: this.workers });
  }

  static create(options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options);
  }

  /**
   * Sets the workers that this daemon orders.
   *
   * @param records - their entries
   * @param fencingToken - the token of the grant
   * @returns a promise that resolves when the others are let go
   */
  serve(records: readonly WorkerRecord[], fencingToken: number): Promise<void> {
    const released = this.workers.serve(records, fencingToken);
    this.starter.review();
    return released;
  }

  /**
   * Runs a batch; a batch that is sent again gets the answer of the first.
   *
   * @param askedBy - incarnation of the daemon that asks
   * @param content - the batch
   * @returns how its tasks ended
   */
  async run(askedBy: string, content: Batch): Promise<BatchEnd> {
    const known = this.batches.get(content.batchId);
    const batch = known ?? this.open(askedBy, content);
    if (known === undefined && this.starter.returnForRoom(batch) && !batch.isOver) {
      return this.answer(batch, batch.ends, true);
    }
    return this.answer(batch, await batch.allEnds, false);
  }

  /** Ends a batch whose job has ended: nothing of it starts, and what runs is stopped. */
  withdraw(batchId: string): void {
    const batch = this.batches.get(batchId);
    if (batch === undefined || batch.isOver) {
      return;
    }
    this.starter.withdraw(batch);
    for (const task of batch.tasks) {
      this.workers.stopTask(task);
      batch.end(task, { kind: 'withdrawn', index: task.index });
    }
    this.starter.review();
  }

  /**
   * Ends the batches of a daemon that are no longer asked for.
   *
   * @param askedBy - its incarnation
   * @param isAsked - tells whether a batch is still asked for
   * @param minAgeMs - batches that came later are left, since the answer may not know of them
   */
  withdrawUnasked(askedBy: string, isAsked: (batchId: string) => boolean, minAgeMs: number): void {
    const nowMs = this.options.clock.nowMs();
    for (const batch of this.batches.values()) {
      const isOld = nowMs - batch.arrivedAtMs >= minAgeMs;
      if (batch.askedBy === askedBy && !batch.isOver && isOld && !isAsked(batch.batchId)) {
        this.logger.info('A batch that nobody asks for is stopped.', {
          jobId: batch.content.jobId,
          batchId: batch.batchId,
        });
        this.withdraw(batch.batchId);
      }
    }
  }

  /**
   * Ends the batches of a daemon.
   *
   * @param askedBy - its incarnation
   * @param minAgeMs - batches that came later are left
   */
  withdrawAll(askedBy: string, minAgeMs = 0): void {
    this.withdrawUnasked(askedBy, () => false, minAgeMs);
  }

  /** @returns the incarnations whose batches run here */
  askers(): string[] {
    const open = [...this.batches.values()].filter(({ isOver }) => !isOver);
    return [...new Set(open.map(({ askedBy }) => askedBy))];
  }

  /** Tells the other daemons of the room here. */
  load(): MemberLoad {
    return { workers: this.workers.loads(this.starter.list()) };
  }

  async close(): Promise<void> {
    this.starter.close();
    await this.workers.close();
  }

  private answer(batch: OpenBatch, ends: readonly TaskEnd[], isPartial: boolean): BatchEnd {
    return { isPartial, ends: [...ends], wasOffered: batch.wasOffered, load: this.load() };
  }

  private open(askedBy: string, content: Batch): OpenBatch {
    const batch = OpenBatch.create(askedBy, content, this.options.clock.nowMs());
    this.forgetEnded(batch.arrivedAtMs);
    this.batches.set(content.batchId, batch);
    batch.tasks.forEach((task) => this.starter.enqueue(task));
    this.starter.review();
    return batch;
  }

  /** Forgets the oldest batches, if they ended long ago. */
  private forgetEnded(nowMs: number): void {
    for (const batch of this.batches.values()) {
      if (!batch.isOver || nowMs - batch.arrivedAtMs < rememberMs) {
        return;
      }
      this.batches.delete(batch.batchId);
    }
  }

  /** Takes the end of a run. */
  private ended(worker: DispatchedWorker, run: ActiveRun, outcome: RunOutcome): void {
    const nowMs = this.options.clock.nowMs();
    const slowness = worker.speed.slowness(nowMs);
    this.noteStanding(worker, run, outcome);
    const cause = causeLabel(outcome);
    this.options.metrics.count('runs', 1, [`outcome:${outcome.kind}`, `cause:${cause}`]);
    this.logger.info('A run has ended.', {
      taskName: run.taskName,
      run: run.run,
      workerId: worker.workerId,
      outcome: outcome.kind,
      durationMs: Math.round(nowMs - run.orderedAtMs),
      expectedMs: Math.round(run.expectedMs),
      ...('reason' in outcome ? { reason: outcome.reason } : {}),
    });
    if (!run.task.hasEnded) {
      this.settle(worker, run.task, outcome, slowness);
    }
  }

  /** Answers a task, or starts it anew. */
  private settle(
    { workerId }: DispatchedWorker,
    task: BatchedTask,
    outcome: RunOutcome,
    slowness: number,
  ): void {
    const { batch, index } = task;
    switch (outcome.kind) {
      case 'done': {
        const lengthMs = Math.round(outcome.runTimeMs / slowness);
        batch.end(task, { kind: 'done', index, lengthMs });
        return;
      }
      case 'invalid':
        batch.end(task, { kind: 'failed', index, reason: outcome.reason });
        return;
      case 'used-number':
        task.nextRun += usedNumberStep;
        this.tryAgain(task);
        return;
      case 'failed':
        this.retryFailed(workerId, task);
        return;
      case 'not-started':
      case 'lost':
        task.avoidedWorkerIds.add(workerId);
        this.tryAgain(task);
        return;
      default:
        return unreachable(outcome);
    }
  }

  private retryFailed(workerId: string, task: BatchedTask): void {
    task.failedRuns += 1;
    task.avoidedWorkerIds.add(workerId);
    if (task.failedRuns < task.batch.content.maxFailedRuns) {
      this.tryAgain(task);
      return;
    }
    const reason = `${task.failedRuns} runs failed`;
    task.batch.end(task, { kind: 'failed', index: task.index, reason });
  }

  private tryAgain(task: BatchedTask): void {
    this.starter.enqueue(task);
    this.starter.review();
  }

  private noteStanding(worker: DispatchedWorker, run: ActiveRun, outcome: RunOutcome): void {
    switch (outcome.kind) {
      case 'done': {
        const { estimatedMs } = run.task.batch.content;
        worker.standing.noteSuccess();
        worker.speed.observe(outcome.runTimeMs, estimatedMs, this.options.clock.nowMs());
        return;
      }
      case 'failed':
        worker.standing.noteFault();
        return;
      case 'invalid':
      case 'used-number':
      case 'not-started':
      case 'lost':
        return;
      default:
        return unreachable(outcome);
    }
  }
}
