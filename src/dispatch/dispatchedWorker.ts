/**
 * A worker that this daemon alone orders: one async function takes it over, then renews its leases
 * and reads the ends of its runs.
 */
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { WorkerPort } from '../ports/workers.js';
import { subtractResources } from '../types/resources.js';
import type { Resources } from '../types/resources.js';
import { WakeableSleep } from '../utils/wakeableSleep.js';
import type { WorkerRecord } from '../types/workers.js';
import { WorkerSpeed } from '../workers/workerSpeed.js';
import type { ActiveRun, RunOutcome } from './activeRun.js';
import type { BatchedTask } from './openBatch.js';
import type { Release } from '../types/fleet.js';
import { RunOrders } from './runOrders.js';
import { RunTable } from './runTable.js';
import { WorkerLink } from './workerLink.js';
import { WorkerReports } from './workerReports.js';
import { WorkerStanding } from './workerStanding.js';

const takeOverPauseMs = 60;
/** A worker on which nothing runs is looked at this often, to keep its clock. */
const idleLookMs = 5_000;
/** Ends are acknowledged within this time where nothing else runs there. */
const acknowledgeMs = 1_000;

export interface DispatchedWorkerOptions {
  readonly record: WorkerRecord;
  readonly fencingToken: number;
  readonly clock: Clock;
  readonly workers: WorkerPort;
  readonly logger: Logger;
  readonly leaseMs: number;
  /** What an earlier dispatcher found. */
  readonly rememberedSlowness?: number | undefined;
  /** Called when a run certainly runs no more. */
  readonly onEnd: (worker: DispatchedWorker, run: ActiveRun, outcome: RunOutcome) => void;
  /** Called when something may start there that could not before. */
  readonly onRoom: () => void;
}

export class DispatchedWorker {
  readonly speed: WorkerSpeed;
  readonly standing: WorkerStanding;
  private readonly link: WorkerLink;
  private readonly runs: RunTable;
  private readonly orders: RunOrders;
  private readonly reports: WorkerReports;
  private readonly logger: Logger;
  private readonly pauses: WakeableSleep;
  /** Whether what ran there before has ended, so that leases may be renewed. */
  private isTakenOver = false;
  private isDraining = false;
  private isClosed = false;
  private readonly serving: Promise<void>;

  private constructor(private readonly options: DispatchedWorkerOptions) {
    const { clock, logger, rememberedSlowness, onEnd } = options;
    this.logger = logger;
    this.link = WorkerLink.create(options);
    this.speed = WorkerSpeed.create(rememberedSlowness);
    this.standing = WorkerStanding.create(clock);
    this.runs = RunTable.create((run, outcome) => onEnd(this, run, outcome));
    this.pauses = WakeableSleep.create(clock);
    const { link, pauses, runs, standing } = this;
    const onBegun = (run: ActiveRun): void => this.noteBegun(run);
    const onReport = (): void => this.noteReport();
    this.reports = WorkerReports.create({ clock, logger, link, runs, pauses, onBegun, onReport });
    const look = (): Promise<void> => this.reports.look();
    this.orders = RunOrders.create({ clock, link, runs, standing, look, onBegun });
    this.serving = this.serve();
  }

  static create(options: DispatchedWorkerOptions): DispatchedWorker {
    return new DispatchedWorker(options);
  }

  get workerId(): string {
    return this.link.workerId;
  }

  get current(): WorkerRecord {
    return this.link.record;
  }

  get runCount(): number {
    return this.runs.size;
  }

  /** @returns what the worker has beside what was started there */
  get free(): Resources {
    return subtractResources(this.link.record.capacity, this.runs.used);
  }

  /** Tells whether tasks may start there now. */
  get isOpen(): boolean {
    return (
      this.isTakenOver &&
      this.isKept &&
      !this.link.isFenced &&
      this.reports.isAnswering &&
      this.standing.mayStart(this.runs.size)
    );
  }

  /** Tells whether the worker belongs to this daemon and is not known to leave. */
  get isKept(): boolean {
    return !this.isDraining && !this.isClosed && this.link.record.state === 'ready';
  }

  /** Tells whether a run of a task is on its way there or has not ended. */
  hasTask(taskName: string): boolean {
    return this.runs.get(taskName) !== undefined;
  }

  /** Counts the runs of one step of a job. */
  countStep(stepName: string): number {
    return this.runs.countStep(stepName);
  }

  /** @returns when the cores of what runs there are expected to be free */
  releases(): Release[] {
    return this.runs.releases(this.options.clock.nowMs());
  }

  /**
   * Takes what the store says of this life of the worker, and a newer token.
   *
   * @param record - the entry
   * @param fencingToken - the token of the present grant
   */
  update(record: WorkerRecord, fencingToken: number): void {
    this.link.record = record;
    this.isDraining = false;
    if (this.link.raiseToken(fencingToken)) {
      this.pauses.wake();
    }
  }

  /** Tells whether an entry speaks of this life of the worker. */
  isFor({ bornAtMs, address }: WorkerRecord): boolean {
    return bornAtMs === this.link.record.bornAtMs && address === this.link.record.address;
  }

  /**
   * Starts a task; its end comes through `onEnd`.
   *
   * @param task - the task
   * @param taskName - its name on the worker
   * @param needs - what it takes
   * @param expectedMs - how long it is expected to run, in milliseconds
   */
  start(task: BatchedTask, taskName: string, needs: Resources, expectedMs: number): void {
    const run: ActiveRun = {
      task,
      taskName,
      run: task.nextRun,
      needs,
      orderedAtMs: this.options.clock.nowMs(),
      expectedMs,
      phase: 'starting',
      startedAtMs: undefined,
      stopAcknowledgedAtMs: undefined,
    };
    task.nextRun += 1;
    task.batch.wasOffered = true;
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

  /** Starts nothing more; resolves when nothing runs there and it is let go. */
  async drain(): Promise<void> {
    this.isDraining = true;
    while (this.runs.size > 0 && this.mayBeLetGo()) {
      await this.options.clock.sleep(takeOverPauseMs);
    }
    if (this.mayBeLetGo()) {
      await this.close();
    }
  }

  /** Lets the worker go at once. What runs there ends with its lease. */
  async close(): Promise<void> {
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    this.reports.close();
    this.pauses.close();
    await this.link.release();
    await this.serving;
  }

  private mayBeLetGo(): boolean {
    return this.isDraining && !this.isClosed;
  }

  private async serve(): Promise<void> {
    while (!this.isClosed) {
      if (this.link.isFenced) {
        this.isTakenOver = false;
        await this.waitForToken();
      } else if (!this.isTakenOver) {
        await this.takeOver();
      } else {
        await this.rest();
        await this.holdOnce();
      }
    }
    this.runs.loseAll('the worker was let go');
  }

  /** Waits while another dispatcher has the worker; this daemon's runs end with their leases. */
  private async waitForToken(): Promise<void> {
    const { leases } = this.link;
    await this.pauses.sleep(this.runs.size > 0 ? leases.msUntilAllEnded() : idleLookMs);
    if (leases.hasAllEnded()) {
      this.runs.loseAll('another daemon dispatches to the worker');
    }
  }

  /** Stops what an earlier dispatcher left, before any lease is renewed. */
  private async takeOver(): Promise<void> {
    const report = await this.reports.readOnly();
    if (report === undefined) {
      return;
    }
    if (report.running.length > 0) {
      await this.options.clock.sleep(takeOverPauseMs);
      return;
    }
    this.isTakenOver = true;
    this.logger.info('The worker is taken over.', { workerId: this.workerId });
    this.options.onRoom();
  }

  /** Waits while nothing runs there. */
  private async rest(): Promise<void> {
    if (this.runs.size === 0) {
      await this.pauses.sleep(this.reports.isAcknowledged ? idleLookMs : acknowledgeMs);
    }
  }

  private async holdOnce(): Promise<void> {
    if (!this.isClosed) {
      await this.reports.hold();
    }
  }

  private noteReport(): void {
    this.stopOverdue();
    this.options.onRoom();
  }

  /** Notes that the worker has a run, and keeps its lease from now on. */
  private noteBegun(run: ActiveRun): void {
    if (run.startedAtMs === undefined) {
      run.startedAtMs = this.options.clock.nowMs();
      this.pauses.wake();
    }
    if (run.phase === 'starting') {
      run.phase = 'running';
    }
  }

  /** Stops runs that take far longer than expected, so that they start elsewhere. */
  private stopOverdue(): void {
    const nowMs = this.options.clock.nowMs();
    for (const run of this.runs.list()) {
      if (run.phase === 'running' && this.standing.isOverdue(run, nowMs)) {
        this.logger.info('A run takes far longer than expected and is stopped.', {
          workerId: this.workerId,
          taskName: run.taskName,
          durationMs: Math.round(nowMs - run.orderedAtMs),
          expectedMs: Math.round(run.expectedMs),
        });
        this.standing.noteFault();
        this.stopTask(run.taskName);
      }
    }
  }
}
