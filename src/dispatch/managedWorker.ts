/**
 * A worker to which this daemon alone dispatches: one async function takes it over, then renews the
 * leases of its runs and reads how they ended.
 */
import { subtractResources } from '../types/resources.js';
import type { Resources } from '../types/resources.js';
import { WakeableSleep } from '../utils/wakeableSleep.js';
import type { WorkerRecord } from '../types/workers.js';
import { WorkerSpeed } from '../workers/workerSpeed.js';
import { createRun, isEnding, recordStart } from './activeRun.js';
import type { ActiveRun, RunPlan } from './activeRun.js';
import type { ActiveTasks } from './activeTasks.js';
import { awaitRunEnds, checkPauseMs } from './awaitRunEnds.js';
import type { BatchedTask } from './openBatch.js';
import { taskNameOf } from './taskNames.js';
import type { CapacityRelease } from '../types/fleet.js';
import type { DoubtListeners } from './doubtedStarts.js';
import type { RunEvidence } from './runEvidence.js';
import { RunOrders } from './runOrders.js';
import { RunTable } from './runTable.js';
import type { AnsweringLifetime } from './workerLifetime.js';
import { WorkerLink } from './workerLink.js';
import type { WorkerLinkOptions } from './workerLink.js';
import type { UnansweredStarts } from './unansweredStarts.js';
import { WorkerReservation } from './workerReservation.js';
import type { Addressee } from './silenceEvidence.js';
import { WorkerReports, idlePollMs } from './workerReports.js';
import { WorkerHealth } from './workerHealth.js';
import { WorkerTakeOver } from './workerTakeOver.js';

export interface ManagedWorkerOptions extends DoubtListeners, WorkerLinkOptions {
  /** Tasks of all workers' runs. */
  readonly activeTasks: ActiveTasks;
  /** Starts at all workers that were never answered. */
  readonly unanswered: UnansweredStarts;
  /** Called before leases are renewed; may withdraw batches. */
  readonly beforeOrders?: (() => void) | undefined;
  /** Slowdown factor that an earlier dispatcher measured. */
  readonly rememberedSlowness?: number | undefined;
  /** Called once for each run, with what is known of it; `unknown` only when the worker is let go. */
  readonly onEnd: (worker: ManagedWorker, run: ActiveRun, evidence: RunEvidence) => void;
  /** Called with the lifetime that has answered a hold. */
  readonly onLifetime: (workerId: string, answering: AnsweringLifetime) => void;
  /** Called after each event that may allow a waiting task to start. */
  readonly onAvailabilityChange: () => void;
}

export class ManagedWorker {
  readonly speed: WorkerSpeed;
  readonly health: WorkerHealth;
  readonly reservation = WorkerReservation.create();
  private readonly link: WorkerLink;
  private readonly runs: RunTable;
  private readonly orders: RunOrders;
  private readonly reports: WorkerReports;
  private readonly sleeper: WakeableSleep;
  private readonly takeOver: WorkerTakeOver;
  private isDraining = false;
  private isRetired = false;
  private isClosed = false;
  private readonly stop = new AbortController();
  private readonly loop: Promise<void>;

  private constructor(private readonly options: ManagedWorkerOptions) {
    const { activeTasks, clock, logger, unanswered, rememberedSlowness, onEnd } = options;
    this.link = WorkerLink.create(options);
    this.speed = WorkerSpeed.create(rememberedSlowness, clock.nowMs());
    this.health = WorkerHealth.create(clock);
    this.runs = RunTable.create(activeTasks, (run, evidence) => onEnd(this, run, evidence));
    this.sleeper = WakeableSleep.create(clock);
    const { link, sleeper, runs, health } = this;
    const onStart = (run: ActiveRun): void => this.markStarted(run);
    const common = { clock, logger, link, runs, sleeper, onStart };
    this.reports = WorkerReports.create({
      ...common,
      onLifetime: (answering) => options.onLifetime(this.workerId, answering),
      onReport: () => {
        this.orders.handleReport();
        options.onAvailabilityChange();
      },
    });
    this.orders = RunOrders.create({
      ...common,
      ...{ health, unanswered, onUnanswered: options.onUnanswered },
      poll: () => this.reports.poll(),
      onNewLifetime: () => this.reports.beginLifetime(),
    });
    this.takeOver = WorkerTakeOver.create({
      ...{ clock, logger, runs, workerId: link.workerId, reports: () => this.reports },
      onTakeOver: () => {
        options.onTakeOver?.(this.workerId);
        options.onAvailabilityChange();
      },
    });
    const run = (): Promise<void> => this.runLoop().finally(() => this.takeOver.reset());
    this.loop = options.supervisor.keep('a worker', run, this.stop.signal);
  }

  static create(options: ManagedWorkerOptions): ManagedWorker {
    return new ManagedWorker(options);
  }

  get workerId(): string {
    return this.link.workerId;
  }

  get record(): WorkerRecord {
    return this.link.record;
  }

  /** Whether another daemon has taken the worker over. */
  get isFenced(): boolean {
    return this.link.isFenced;
  }

  get runCount(): number {
    return this.runs.size;
  }

  /** @returns the worker's capacity less the needs of its runs */
  get free(): Resources {
    return subtractResources(this.link.record.capacity, this.runs.used);
  }

  /** Free cores in thousandths; below 0 while runs use more than the worker has, after it has shrunk. */
  get unusedCpuMillis(): number {
    return this.record.capacity.cpuMillis - this.runs.used.cpuMillis;
  }

  /** Whether the worker may start tasks now, or when its runs have ended that a lease may cover. */
  get isInService(): boolean {
    return this.isExpected || (this.isAssigned && this.runs.hasLeasedRuns);
  }

  /** Whether any task may start on the worker now, capacity aside. */
  get isOpen(): boolean {
    return this.isAvailable && this.reservation.task === undefined;
  }

  /** Whether tasks may be sent for the worker: it is open, or is expected to be with its next answer. */
  get acceptsTasks(): boolean {
    return this.isExpected && this.reservation.task === undefined;
  }

  /** Like `isOpen`, but for the task that the worker may be reserved for. */
  get isAvailable(): boolean {
    return this.takeOver.isDone && this.isUsable;
  }

  /** Like `isAvailable`, now or with the next answer of the worker. */
  private get isExpected(): boolean {
    return this.isUsable && this.takeOver.isDoneOrConfirming;
  }

  /** Whether the worker may start tasks as far as it is taken over. */
  private get isUsable(): boolean {
    return (
      this.isAssigned &&
      !this.isFenced &&
      this.reports.isAnswering &&
      this.health.canStart(this.runs.size)
    );
  }

  /** Whether the worker is assigned to this daemon and not draining. */
  get isAssigned(): boolean {
    return !this.isDraining && !this.isClosed && this.link.record.state === 'ready';
  }

  /** Counts the runs of one step of a job. */
  countStep(stepName: string): number {
    return this.runs.countStep(stepName);
  }

  /** @returns when the cores of the runs are expected to become free */
  releases(): CapacityRelease[] {
    return this.runs.releases(this.options.clock.nowMs());
  }

  /**
   * Replaces the worker's entry; ends a drain. With a higher token the worker is taken over anew, since another
   * daemon may have had it meanwhile. Where it may have restarted, the worker itself is asked at once.
   *
   * @param record - the store's entry of the worker at the same address
   * @param fencingToken - the token of the current grant
   */
  update(record: WorkerRecord, fencingToken: number): void {
    this.link.record = record;
    this.link.addressee = 'worker';
    this.isDraining = false;
    if (this.link.raiseToken(fencingToken)) {
      this.takeOver.raiseToken();
      this.sleeper.wake();
    }
    if (this.reports.mayHaveRestarted) {
      void this.reports.poll();
    }
  }

  /** Whether a lease that is issued now ends by a time, in monotonic time, and by those of all runs that it covers. */
  canRunUntil(limitMs: number): boolean {
    return this.link.leaseClock.canIssueUntil(Math.min(limitMs, this.runs.permittedUntilMs));
  }

  /** Starts the next run of a task; `onEnd` reports what becomes of it. */
  start(plan: RunPlan): void {
    const run = createRun(plan, this.options.clock.nowMs(), this.link.lifetime.startedAtMs);
    plan.task.batch.usedWorkerIds.add(this.workerId);
    this.runs.add(run);
    void this.orders.start(run);
  }

  /** Stops the run of a task, if there is one; that of the same task in another batch goes on. */
  stopTask(task: BatchedTask): void {
    const run = this.runs.get(taskNameOf(task));
    if (run?.task === task && !isEnding(run)) {
      void this.orders.stop(run);
    }
  }

  /** Starts no more runs; resolves when the worker is closed after its last run, or used again. */
  async drain(addressee: Addressee = 'worker'): Promise<void> {
    this.isDraining = true;
    this.link.addressee = addressee;
    await awaitRunEnds(this.options.clock, this.runs, () => this.isDrainPending());
    if (this.isDrainPending()) {
      await this.close();
    }
  }

  /**
   * Renews no lease from now on and stops all runs; resolves when the worker is closed, after each run was
   * proved to have ended.
   */
  retire(addressee: Addressee): Promise<void> {
    this.isRetired = true;
    this.sleeper.wake();
    this.runs.list().forEach(({ task }) => this.stopTask(task));
    return this.drain(addressee);
  }

  /** Releases the worker at once; whether its runs still go on is unknown from now on. */
  async close(): Promise<void> {
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    this.stop.abort();
    this.reports.close();
    this.sleeper.close();
    this.runs.finishAll({ kind: 'unknown', reason: 'the worker was let go' });
    await this.link.release();
    await this.loop;
  }

  private isDrainPending(): boolean {
    return this.isDraining && !this.isClosed;
  }

  private async runLoop(): Promise<void> {
    while (!this.isClosed) {
      if (this.isFenced) {
        this.takeOver.reset();
        const leaseLeftMs = this.link.leaseClock.msUntilAllLeasesEnded();
        await this.sleeper.sleep(this.runs.hasLeasedRuns ? leaseLeftMs + 1 : idlePollMs);
        this.reports.endLapsedRuns('fenced');
      } else if (this.isRetired) {
        await this.reports.readWithoutRenewal();
        await this.options.clock.sleep(checkPauseMs);
      } else if (!this.takeOver.isDone) {
        await this.takeOver.attempt();
      } else {
        await this.reports.waitWhileIdle();
        await this.holdOnce();
      }
    }
  }

  private async holdOnce(): Promise<void> {
    if (!this.isClosed && this.takeOver.isDone) {
      this.options.beforeOrders?.();
      await this.reports.hold();
    }
  }

  /** Records that the worker has a run, and wakes the loop so that its lease is renewed. */
  private markStarted(run: ActiveRun): void {
    if (run.phase === 'in-doubt') {
      this.link.leaseClock.recordUnknownLease();
    }
    if (recordStart(run, this.options.clock.nowMs())) {
      this.sleeper.wake();
    }
  }
}
