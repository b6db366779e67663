/**
 * A worker to which this daemon alone dispatches: one async function takes it over, then renews the
 * leases of its runs and reads how they ended.
 */
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { WorkerPort } from '../ports/workers.js';
import { subtractResources } from '../types/resources.js';
import type { Resources } from '../types/resources.js';
import type { TaskSupervisor } from '../utils/taskSupervisor.js';
import { WakeableSleep } from '../utils/wakeableSleep.js';
import type { WorkerRecord } from '../types/workers.js';
import { WorkerSpeed } from '../workers/workerSpeed.js';
import type { ActiveRun, RunOutcome } from './activeRun.js';
import type { BatchedTask } from './openBatch.js';
import type { CapacityRelease } from '../types/fleet.js';
import { RunOrders } from './runOrders.js';
import { RunTable } from './runTable.js';
import { WorkerLink } from './workerLink.js';
import { WorkerReservation } from './workerReservation.js';
import { WorkerReports } from './workerReports.js';
import { WorkerHealth } from './workerHealth.js';

/** Pause between checks whether runs are left, during takeover and drain. */
const checkPauseMs = 60;
/** Poll period of an idle worker, which keeps the reading of its clock recent. */
const idlePollMs = 5_000;
/** Longest time until the ends of runs are acknowledged to a worker that has become idle. */
const acknowledgeDelayMs = 1_000;

export interface ManagedWorkerOptions {
  readonly record: WorkerRecord;
  readonly fencingToken: number;
  readonly clock: Clock;
  readonly workers: WorkerPort;
  readonly logger: Logger;
  readonly leaseMs: number;
  readonly supervisor: TaskSupervisor;
  /** Slowdown factor that an earlier dispatcher measured. */
  readonly rememberedSlowness?: number | undefined;
  /** Called once for each run, when it can no longer be running. */
  readonly onEnd: (worker: ManagedWorker, run: ActiveRun, outcome: RunOutcome) => void;
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
  /** Whether all runs of earlier dispatchers have ended, so that leases may be renewed. */
  private isTakenOver = false;
  private isDraining = false;
  private isClosed = false;
  private readonly stop = new AbortController();
  private readonly loop: Promise<void>;

  private constructor(private readonly options: ManagedWorkerOptions) {
    const { clock, logger, rememberedSlowness, onEnd } = options;
    this.link = WorkerLink.create(options);
    this.speed = WorkerSpeed.create(rememberedSlowness);
    this.health = WorkerHealth.create(clock);
    this.runs = RunTable.create((run, outcome) => onEnd(this, run, outcome));
    this.sleeper = WakeableSleep.create(clock);
    const { link, sleeper, runs, health } = this;
    const onStart = (run: ActiveRun): void => this.markStarted(run);
    const onReport = (): void => this.handleReport();
    this.reports = WorkerReports.create({ clock, logger, link, runs, sleeper, onStart, onReport });
    const poll = (): Promise<void> => this.reports.poll();
    this.orders = RunOrders.create({ clock, logger, link, runs, health, poll, onStart });
    const run = (): Promise<void> => this.runLoop().finally(() => (this.isTakenOver = false));
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

  get runCount(): number {
    return this.runs.size;
  }

  /** @returns the worker's capacity less the needs of its runs */
  get free(): Resources {
    return subtractResources(this.link.record.capacity, this.runs.used);
  }

  /** Free cores in thousandths; below 0 while runs use more than the worker has, after it has shrunk. */
  get unusedCpuMillis(): number {
    return this.link.record.capacity.cpuMillis - this.runs.used.cpuMillis;
  }

  /** Whether any task may start on the worker now, capacity aside. */
  get isOpen(): boolean {
    return this.isAvailable && this.reservation.task === undefined;
  }

  /** Like `isOpen`, but for the task that the worker may be reserved for. */
  get isAvailable(): boolean {
    return (
      this.isTakenOver &&
      this.isAssigned &&
      !this.link.isFenced &&
      this.reports.isAnswering &&
      this.health.canStart(this.runs.size)
    );
  }

  /** Whether the worker is assigned to this daemon and not draining. */
  get isAssigned(): boolean {
    return !this.isDraining && !this.isClosed && this.link.record.state === 'ready';
  }

  /** Returns whether a run of a task was sent to the worker and has not ended. */
  hasTask(taskName: string): boolean {
    return this.runs.get(taskName) !== undefined;
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
   * Replaces the worker's entry and raises the fencing token; ends a drain.
   *
   * @param record - the store's entry of the same incarnation of the worker
   * @param fencingToken - the token of the current grant
   */
  update(record: WorkerRecord, fencingToken: number): void {
    this.link.record = record;
    this.isDraining = false;
    if (this.link.raiseToken(fencingToken)) {
      this.sleeper.wake();
    }
  }

  /** Returns whether an entry describes the incarnation of the worker that is managed here. */
  isSameIncarnation({ startedAtMs, address }: WorkerRecord): boolean {
    return startedAtMs === this.link.record.startedAtMs && address === this.link.record.address;
  }

  /**
   * Starts a run of a task; `onEnd` reports its end.
   *
   * @param task - the task
   * @param taskName - its name on the worker
   * @param needs - resources that the run occupies
   * @param expectedMs - expected run time, in milliseconds
   */
  start(task: BatchedTask, taskName: string, needs: Resources, expectedMs: number): void {
    const run: ActiveRun = {
      task,
      taskName,
      run: task.nextRun,
      needs,
      startSentAtMs: this.options.clock.nowMs(),
      expectedMs,
      phase: 'starting',
      startedAtMs: undefined,
      stopAcknowledgedAtMs: undefined,
    };
    task.nextRun += 1;
    task.batch.usedWorkerIds.add(this.workerId);
    this.runs.add(run);
    void this.orders.start(run);
  }

  /** Stops the run of a task, if there is one. */
  stopTask(taskName: string): void {
    const run = this.runs.get(taskName);
    if (run !== undefined && run.phase !== 'stopping') {
      void this.orders.stop(run);
    }
  }

  /** Starts no more runs; resolves when the worker is closed after its last run, or used again. */
  async drain(): Promise<void> {
    this.isDraining = true;
    while (this.runs.size > 0 && this.isDrainPending()) {
      await this.options.clock.sleep(checkPauseMs);
    }
    if (this.isDrainPending()) {
      await this.close();
    }
  }

  /** Releases the worker at once; its runs are reported as lost and end there with their leases. */
  async close(): Promise<void> {
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    this.stop.abort();
    this.reports.close();
    this.sleeper.close();
    await this.link.release();
    await this.loop;
  }

  /** Releases the worker at once, since its entry shows that it has restarted. */
  async closeAfterRestart(): Promise<void> {
    this.reports.endRunsOfLostWorker('its entry shows a restart');
    await this.close();
  }

  private isDrainPending(): boolean {
    return this.isDraining && !this.isClosed;
  }

  private async runLoop(): Promise<void> {
    while (!this.isClosed) {
      if (this.link.isFenced) {
        this.isTakenOver = false;
        await this.waitForToken();
      } else if (!this.isTakenOver) {
        await this.takeOver();
      } else {
        await this.waitWhileIdle();
        await this.holdOnce();
      }
    }
    this.runs.finishAll({ kind: 'lost', reason: 'the worker was let go' });
  }

  /**
   * Waits for a higher fencing token while another dispatcher uses the worker; the runs of this
   * daemon are lost when their leases have ended.
   */
  private async waitForToken(): Promise<void> {
    const { leaseClock } = this.link;
    await this.sleeper.sleep(this.runs.size > 0 ? leaseClock.msUntilAllLeasesEnded() : idlePollMs);
    if (leaseClock.haveAllLeasesEnded()) {
      this.runs.finishAll({ kind: 'lost', reason: 'another daemon dispatches to the worker' });
    }
  }

  /** Reads reports without renewing leases, which stops orphaned runs, until no run is left. */
  private async takeOver(): Promise<void> {
    const report = await this.reports.readWithoutRenewal();
    if (report === undefined) {
      return;
    }
    if (report.running.length > 0) {
      await this.options.clock.sleep(checkPauseMs);
      return;
    }
    this.isTakenOver = true;
    this.options.logger.info('The worker is taken over.', { workerId: this.workerId });
    this.options.onAvailabilityChange();
  }

  /** Waits before the next hold if the worker has no runs; a started run ends the wait. */
  private async waitWhileIdle(): Promise<void> {
    if (this.runs.size === 0) {
      await this.sleeper.sleep(this.reports.areEndsAcknowledged ? idlePollMs : acknowledgeDelayMs);
    }
  }

  private async holdOnce(): Promise<void> {
    if (!this.isClosed) {
      await this.reports.hold();
    }
  }

  private handleReport(): void {
    this.orders.stopOverdue();
    this.options.onAvailabilityChange();
  }

  /** Records that the worker has started a run, and wakes the loop so that its lease is renewed. */
  private markStarted(run: ActiveRun): void {
    if (run.startedAtMs === undefined) {
      run.startedAtMs = this.options.clock.nowMs();
      this.sleeper.wake();
    }
    if (run.phase === 'starting') {
      run.phase = 'running';
    }
  }
}
