/**
 * Runs batches of tasks on the workers that this daemon alone orders.
 */
import type { MemberLoad } from '../fleet/types.js';
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { Metrics } from '../ports/metrics.js';
import type { Random } from '../ports/random.js';
import type { WorkerPort } from '../ports/workers.js';
import { unreachable } from '../errors/unreachable.js';
import { fitsInto } from '../resources/resources.js';
import type { SpeedMemory } from '../workers/speedMemory.js';
import type { WorkerRecord } from '../workers/types.js';
import type { ActiveRun, RunOutcome } from './activeRun.js';
import { DispatchedWorker } from './dispatchedWorker.js';
import { OpenBatch } from './openBatch.js';
import type { BatchedTask } from './openBatch.js';
import { RoomProfile } from './roomProfile.js';
import type { Batch, BatchEnd, TaskEnd } from './types.js';
import { WaitingTasks } from './waitingTasks.js';
import { chooseWorker, expectedRunMs, hasRequiredLabel, isLate } from './workerChoice.js';
import type { Candidate, TaskDemand } from './workerChoice.js';

/** Tasks that are looked at in one round beyond those that can start. */
const maxBlocked = 6;
/** Period in which waiting tasks are looked at that no end makes room for, in milliseconds. */
const reviewPeriodMs = 25;
/** Batches are remembered from their arrival for a request that is sent again. */
const rememberMs = 10_000;
/** Numbers that are passed over when a worker has ended a run under the next one. */
const usedNumberStep = 8;
/** Share of a run's expected time by which it should start ahead of the last moment. */
const startMargin = 0.15;

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

/** A worker of this daemon with its room. */
interface WorkerRoom {
  readonly worker: DispatchedWorker;
  readonly slowness: number;
  readonly profile: RoomProfile;
}

/** A worker of this daemon as a candidate. */
interface OwnCandidate extends Candidate {
  readonly worker: DispatchedWorker;
}

export class Dispatcher {
  private readonly served = new Map<string, DispatchedWorker>();
  private readonly batches = new Map<string, OpenBatch>();
  private readonly waiting = WaitingTasks.create();
  private readonly logger: Logger;
  private readonly stop = new AbortController();
  private isReviewing = false;

  private constructor(private readonly options: DispatcherOptions) {
    this.logger = options.logger.forPart('dispatch');
  }

  static create(options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options);
  }

  get workerCount(): number {
    return this.served.size;
  }

  /**
   * Sets the workers that this daemon orders.
   *
   * @param records - their entries
   * @param fencingToken - the token of the grant
   * @returns a promise that resolves when the others are let go
   */
  serve(records: readonly WorkerRecord[], fencingToken: number): Promise<unknown> {
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
    this.review();
    return Promise.all(released);
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
    if (known === undefined && this.returnForRoom(batch) && !batch.isOver) {
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
    this.waiting.removeBatch(batch);
    for (const task of batch.tasks) {
      this.stopEverywhere(task);
      batch.end(task, { kind: 'withdrawn', index: task.index });
    }
    this.review();
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

  /** @returns the incarnations whose batches run here */
  askers(): string[] {
    const open = [...this.batches.values()].filter(({ isOver }) => !isOver);
    return [...new Set(open.map(({ askedBy }) => askedBy))];
  }

  /** Tells the other daemons of the room here. */
  load(): MemberLoad {
    const rooms = this.rooms();
    this.waiting.list().forEach((task) => this.placeWaiting(task, rooms));
    const workers = rooms.map(({ worker, slowness, profile }) => ({
      workerId: worker.workerId,
      free: { ...worker.free, cpuMillis: profile.free },
      slowness: round(slowness),
      isOpen: worker.isOpen,
      releases: [...profile.releases],
    }));
    return { workers };
  }

  async close(): Promise<void> {
    this.stop.abort();
    await Promise.all([...this.served.values()].map((worker) => worker.close()));
  }

  /**
   * Takes the room that a waiting task will get first.
   *
   * @returns its expected wait, in milliseconds
   */
  private placeWaiting({ batch }: BatchedTask, rooms: readonly WorkerRoom[]): number {
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
  }

  private answer(batch: OpenBatch, ends: readonly TaskEnd[], isPartial: boolean): BatchEnd {
    return { isPartial, ends: [...ends], wasOffered: batch.wasOffered, load: this.load() };
  }

  /**
   * Gives the tasks of a new batch back that would wait too long for room here.
   *
   * @returns whether there were any
   */
  private returnForRoom(batch: OpenBatch): boolean {
    const rooms = this.rooms();
    const late = this.waiting
      .list()
      .filter((task) => this.placeWaiting(task, rooms) > task.batch.content.maxWaitMs)
      .filter((task) => task.batch === batch);
    for (const task of late) {
      this.waiting.remove(task);
      this.giveBack(task, 'no room');
    }
    return late.length > 0;
  }

  private rooms(): WorkerRoom[] {
    const nowMs = this.options.clock.nowMs();
    return [...this.served.values()].map((worker) => ({
      worker,
      slowness: worker.speed.slowness(nowMs),
      profile: RoomProfile.create(worker.free.cpuMillis, worker.releases()),
    }));
  }

  private startServing(record: WorkerRecord, fencingToken: number): DispatchedWorker {
    const { clock, workers, leaseMs } = this.options;
    return DispatchedWorker.create({
      record,
      fencingToken,
      clock,
      workers,
      leaseMs,
      rememberedSlowness: this.options.speeds.get(record.workerId),
      logger: this.logger,
      onEnd: (worker, run, outcome) => this.ended(worker, run, outcome),
      onRoom: () => this.review(),
    });
  }

  private async release(workerId: string, worker: DispatchedWorker): Promise<void> {
    await worker.drain();
    if (!worker.isKept && this.served.get(workerId) === worker) {
      this.served.delete(workerId);
    }
  }

  private open(askedBy: string, content: Batch): OpenBatch {
    const batch = OpenBatch.create(askedBy, content, this.options.clock.nowMs());
    this.forgetEnded(batch.arrivedAtMs);
    this.batches.set(content.batchId, batch);
    batch.tasks.forEach((task) => this.enqueue(task));
    this.review();
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

  private enqueue(task: BatchedTask): void {
    const demand = demandOf(task);
    const fastestMs = this.fastestMs(task, demand);
    if (fastestMs === undefined) {
      this.giveBack(task, 'no worker here is in service for it');
      return;
    }
    const startByMs = demand.objectiveAtMs - fastestMs * (1 + startMargin);
    this.waiting.push(task, startByMs);
  }

  /** Time on the fastest worker that may get the task, room or not; nothing if there is none. */
  private fastestMs(task: BatchedTask, demand: TaskDemand): number | undefined {
    const nowMs = this.options.clock.nowMs();
    let fastestMs: number | undefined;
    for (const worker of this.served.values()) {
      if (!this.mayEverRun(worker, task)) {
        continue;
      }
      const { labels } = worker.current;
      const slowness = worker.speed.slowness(nowMs);
      const ms = expectedRunMs(demand, { slowness, labels }, this.options.farRackFactor);
      fastestMs = Math.min(ms, fastestMs ?? ms);
    }
    return fastestMs;
  }

  private mayEverRun(worker: DispatchedWorker, { batch, avoidedWorkerIds }: BatchedTask): boolean {
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
  }

  /** Starts what can start; called whenever room, workers or tasks have changed. */
  private review(): void {
    if (this.isReviewing || this.stop.signal.aborted) {
      return;
    }
    this.isReviewing = true;
    let blocked = 0;
    for (const task of this.waiting.list()) {
      if (blocked >= maxBlocked) {
        break;
      }
      blocked += this.tryStart(task) ? 0 : 1;
    }
    this.isReviewing = false;
    if (this.waiting.size > 0) {
      void this.reviewLater();
    }
  }

  private isReviewPlanned = false;

  private async reviewLater(): Promise<void> {
    if (this.isReviewPlanned) {
      return;
    }
    this.isReviewPlanned = true;
    await this.options.clock.sleep(reviewPeriodMs, this.stop.signal);
    this.isReviewPlanned = false;
    this.review();
  }

  /** @returns whether the task no longer waits */
  private tryStart(task: BatchedTask): boolean {
    const nowMs = this.options.clock.nowMs();
    const demand = demandOf(task);
    const fastestMs = this.fastestMs(task, demand);
    if (fastestMs === undefined) {
      this.waiting.remove(task);
      this.giveBack(task, 'no worker here is in service for it');
      return true;
    }
    const lastEndAtMs = task.batch.wasOffered ? demand.giveUpAtMs : task.batch.expiresAtMs;
    if (nowMs + fastestMs > lastEndAtMs) {
      this.waiting.remove(task);
      this.settle(task, { kind: 'expired', index: task.index });
      return true;
    }
    const chosen = chooseWorker(demand, this.candidatesFor(task, nowMs), {
      nowMs,
      farRackFactor: this.options.farRackFactor,
      random: () => this.options.random.next(),
    });
    const canStillBeInTime = nowMs + fastestMs <= demand.objectiveAtMs;
    if (chosen === undefined || (isLate(demand, chosen, nowMs) && canStillBeInTime)) {
      return false;
    }
    this.waiting.remove(task);
    const { worker } = chosen.candidate;
    this.logger.info('A run is started.', {
      taskName: taskNameOf(task),
      run: task.nextRun,
      workerId: worker.workerId,
      expectedMs: Math.round(chosen.expectedMs),
      leftMs: Math.round(demand.objectiveAtMs - nowMs),
      ageMs: Math.round(nowMs - task.batch.arrivedAtMs),
    });
    worker.start(task, taskNameOf(task), task.batch.content.needs.resources, chosen.expectedMs);
    return true;
  }

  private candidatesFor(task: BatchedTask, nowMs: number): OwnCandidate[] {
    const { batch, avoidedWorkerIds } = task;
    const { serviceId, needs } = batch.content;
    const candidates: OwnCandidate[] = [];
    for (const worker of this.served.values()) {
      const isFull =
        needs.maxPerWorker !== undefined &&
        worker.countStep(stepNameOf(batch)) >= needs.maxPerWorker;
      if (
        !worker.isOpen ||
        isFull ||
        worker.current.serviceId !== serviceId ||
        avoidedWorkerIds.has(worker.workerId) ||
        worker.hasTask(taskNameOf(task))
      ) {
        continue;
      }
      candidates.push({
        worker,
        workerId: worker.workerId,
        labels: worker.current.labels,
        free: worker.free,
        startsInMs: 0,
        slowness: worker.speed.slowness(nowMs),
        distanceMs: 0,
        reachCost: 0,
      });
    }
    return candidates;
  }

  /** Takes the end of a run. */
  private ended(worker: DispatchedWorker, run: ActiveRun, outcome: RunOutcome): void {
    const { task } = run;
    const slowness = worker.speed.slowness(this.options.clock.nowMs());
    this.noteStanding(worker, run, outcome);
    this.options.metrics.count('runs', 1, [`outcome:${outcome.kind}`]);
    this.logger.info('A run has ended.', {
      taskName: run.taskName,
      run: run.run,
      workerId: worker.workerId,
      outcome: outcome.kind,
      durationMs: Math.round(this.options.clock.nowMs() - run.orderedAtMs),
      expectedMs: Math.round(run.expectedMs),
      ...('reason' in outcome ? { reason: outcome.reason } : {}),
    });
    if (task.hasEnded) {
      return;
    }
    switch (outcome.kind) {
      case 'done':
        this.settle(task, {
          kind: 'done',
          index: task.index,
          lengthMs: Math.round(outcome.runTimeMs / slowness),
        });
        return;
      case 'invalid':
        this.settle(task, { kind: 'failed', index: task.index, reason: outcome.reason });
        return;
      case 'used-number':
        task.nextRun += usedNumberStep;
        this.tryAgain(task);
        return;
      case 'failed':
        this.retryFailed(worker, task);
        return;
      case 'not-started':
      case 'lost':
        task.avoidedWorkerIds.add(worker.workerId);
        this.tryAgain(task);
        return;
      default:
        return unreachable(outcome);
    }
  }

  private retryFailed(worker: DispatchedWorker, task: BatchedTask): void {
    task.failedRuns += 1;
    task.avoidedWorkerIds.add(worker.workerId);
    if (task.failedRuns >= task.batch.content.maxFailedRuns) {
      const reason = `${task.failedRuns} runs failed`;
      this.settle(task, { kind: 'failed', index: task.index, reason });
      return;
    }
    this.tryAgain(task);
  }

  private tryAgain(task: BatchedTask): void {
    this.enqueue(task);
    this.review();
  }

  private noteStanding(worker: DispatchedWorker, run: ActiveRun, outcome: RunOutcome): void {
    const { clock } = this.options;
    switch (outcome.kind) {
      case 'done':
        worker.standing.noteSuccess();
        worker.speed.observe(outcome.runTimeMs, run.task.batch.content.estimatedMs, clock.nowMs());
        return;
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

  private giveBack(task: BatchedTask, reason: string): void {
    const { index, nextRun, failedRuns } = task;
    this.settle(task, { kind: 'returned', task: { index, nextRun, failedRuns }, reason });
  }

  private settle(task: BatchedTask, end: TaskEnd): void {
    task.batch.end(task, end);
  }

  private stopEverywhere(task: BatchedTask): void {
    const taskName = taskNameOf(task);
    for (const worker of this.served.values()) {
      if (worker.hasTask(taskName)) {
        worker.stopTask(taskName);
      }
    }
  }
}

const stepNameOf = ({ content }: OpenBatch): string => `${content.jobId}.0.${content.stepIndex}`;

/** Name of a task on the workers; the second part numbers occurrences of jobs that repeat. */
const taskNameOf = ({ batch, index }: BatchedTask): string => `${stepNameOf(batch)}.${index}`;

const demandOf = ({ batch }: BatchedTask): TaskDemand => ({
  needs: batch.content.needs,
  estimatedMs: batch.content.estimatedMs,
  objectiveAtMs: batch.objectiveAtMs,
  giveUpAtMs: batch.giveUpAtMs,
});

const round = (value: number): number => Math.round(value * 100) / 100;
