/**
 * A worker that this daemon alone orders: one async function takes it over, then renews its leases
 * and reads the ends of its runs.
 */
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { HoldReply, OrderFailure, StartReply, WorkerPort } from '../ports/workers.js';
import { unreachable } from '../errors/unreachable.js';
import { addResources, fitsInto, noResources, subtractResources } from '../resources/resources.js';
import type { Resources } from '../resources/resources.js';
import type { ReportedEnd, WorkerRecord, WorkerReport } from '../workers/types.js';
import { abortQuietly } from '../utils/abortQuietly.js';
import { WorkerSpeed } from '../workers/workerSpeed.js';
import type { ActiveRun, RunOutcome } from './activeRun.js';
import { LeaseClock } from './leaseClock.js';
import type { BatchedTask } from './openBatch.js';
import type { Release } from './roomProfile.js';
import { StrayRuns } from './strayRuns.js';
import { WorkerStanding } from './workerStanding.js';

const startTimeoutMs = 150;
const stopTimeoutMs = 150;
const lookTimeoutMs = 200;
/** Longest wait for an end in one hold; well under the shortest lease. */
const maxHoldWaitMs = 300;
/** A hold is given up this long after the wait that it asked for. */
const holdSlackMs = 200;
/** Unanswered holds after which leases are no longer renewed. */
const maxMisses = 2;
const missPauseMs = 150;
const maxMissPauseMs = 1_000;
const takeOverPauseMs = 60;
/** Time for the end of a stopped run to be listed. */
const stopListedMs = 60;
/** A worker on which nothing runs is looked at this often, to keep its clock. */
const idleLookMs = 5_000;
/** Ends are acknowledged within this time where nothing else runs there. */
const acknowledgeMs = 1_000;

/** Share of its expected time that a run is thought to need still when that time is over. */
const overtimeShare = 0.2;

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
  private readonly runs = new Map<string, ActiveRun>();
  private readonly leases: LeaseClock;
  private readonly strays: StrayRuns;
  private readonly logger: Logger;
  private record: WorkerRecord;
  private token: number;
  /** The token that was refused, if it was. */
  private refusedToken = -1;
  private used: Resources = noResources;
  private lastSeenEnd = 0;
  private acknowledgedEnd = 0;
  private misses = 0;
  /** Whether what ran there before has ended, so that leases may be renewed. */
  private isTakenOver = false;
  private isDraining = false;
  private isClosed = false;
  private wake = new AbortController();
  private readonly serving: Promise<void>;

  private constructor(private readonly options: DispatchedWorkerOptions) {
    this.record = options.record;
    this.token = options.fencingToken;
    this.logger = options.logger;
    this.speed = WorkerSpeed.create(options.rememberedSlowness);
    this.leases = LeaseClock.create(options.clock, options.leaseMs);
    this.standing = WorkerStanding.create(options.clock);
    this.strays = StrayRuns.create((stray) => this.sendStop(stray.taskName, stray.run));
    this.serving = this.serve();
  }

  static create(options: DispatchedWorkerOptions): DispatchedWorker {
    return new DispatchedWorker(options);
  }

  get workerId(): string {
    return this.record.workerId;
  }

  get current(): WorkerRecord {
    return this.record;
  }

  get runCount(): number {
    return this.runs.size;
  }

  /** @returns what the worker has beside what was started there */
  get free(): Resources {
    return subtractResources(this.record.capacity, this.used);
  }

  /** Tells whether tasks may start there now. */
  get isOpen(): boolean {
    return (
      this.isTakenOver &&
      !this.isDraining &&
      !this.isClosed &&
      this.misses === 0 &&
      this.record.state === 'ready' &&
      this.standing.mayStart(this.runs.size)
    );
  }

  /** Tells whether the worker belongs to this daemon and is not known to leave. */
  get isKept(): boolean {
    return !this.isDraining && !this.isClosed && this.record.state === 'ready';
  }

  /** Tells whether a run of a task is on its way there or has not ended. */
  hasTask(taskName: string): boolean {
    return this.runs.has(taskName);
  }

  /** Counts the runs of one step of a job. */
  countStep(stepName: string): number {
    return [...this.runs.keys()].filter((name) => name.startsWith(`${stepName}.`)).length;
  }

  /** @returns when the cores of what runs there are expected to be free */
  releases(): Release[] {
    const nowMs = this.options.clock.nowMs();
    return [...this.runs.values()].map((run) => ({
      inMs: Math.round(remainingMs(run, nowMs)),
      cpuMillis: run.needs.cpuMillis,
    }));
  }

  /**
   * Takes what the store says of this life of the worker, and a newer token.
   *
   * @param record - the entry
   * @param fencingToken - the token of the present grant
   */
  update(record: WorkerRecord, fencingToken: number): void {
    this.record = record;
    this.isDraining = false;
    if (fencingToken > this.token) {
      this.token = fencingToken;
      this.wakeUp();
    }
  }

  /** Tells whether an entry speaks of this life of the worker. */
  isFor(record: WorkerRecord): boolean {
    return record.bornAtMs === this.record.bornAtMs && record.address === this.record.address;
  }

  /** Tells whether a task fits there now. */
  hasRoomFor(needs: Resources): boolean {
    return fitsInto(needs, this.free);
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
      progressPercent: 0,
    };
    task.nextRun += 1;
    task.batch.wasOffered = true;
    this.runs.set(taskName, run);
    this.used = addResources(this.used, needs);
    void this.order(run);
  }

  /** Stops the run of a task, if there is one. */
  stopTask(taskName: string): void {
    const run = this.runs.get(taskName);
    if (run !== undefined && run.phase !== 'stopping') {
      run.phase = 'stopping';
      void this.settleByStop(run);
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
    this.wakeUp();
    await this.options.workers.release(this.record);
    await this.serving;
  }

  private mayBeLetGo(): boolean {
    return this.isDraining && !this.isClosed;
  }

  private async serve(): Promise<void> {
    while (!this.isClosed) {
      if (this.token <= this.refusedToken) {
        await this.waitForToken();
      } else if (!this.isTakenOver) {
        await this.takeOver();
      } else {
        await this.rest();
        await this.holdOnce();
      }
    }
    this.loseAll('the worker was let go');
  }

  /** Waits while another dispatcher has the worker; this daemon's runs end with their leases. */
  private async waitForToken(): Promise<void> {
    const { clock } = this.options;
    if (this.runs.size > 0) {
      await clock.sleep(this.leases.msUntilAllEnded(), this.wake.signal);
      if (this.leases.hasAllEnded()) {
        this.loseAll('another daemon dispatches to the worker');
      }
    } else {
      await clock.sleep(idleLookMs, this.wake.signal);
    }
    this.renewWake();
  }

  /** Stops what an earlier dispatcher left, before any lease is renewed. */
  private async takeOver(): Promise<void> {
    const { clock, workers } = this.options;
    const order = { fencingToken: this.token, lastSeenEnd: this.lastSeenEnd, waitMs: 0 };
    const sentAtMs = clock.nowMs();
    const reply = await workers.hold(this.record, order, lookTimeoutMs);
    if (reply.kind !== 'held') {
      await this.takeFailedHold(reply);
      return;
    }
    this.apply(reply.report, sentAtMs);
    if (reply.report.running.length > 0) {
      await clock.sleep(takeOverPauseMs);
      return;
    }
    this.isTakenOver = true;
    this.logger.debug('The worker is taken over.', { workerId: this.workerId, token: this.token });
    this.options.onRoom();
  }

  /** Waits while nothing runs there. */
  private async rest(): Promise<void> {
    if (this.runs.size > 0) {
      return;
    }
    const isAcknowledged = this.acknowledgedEnd === this.lastSeenEnd;
    const durationMs = isAcknowledged ? idleLookMs : acknowledgeMs;
    await this.options.clock.sleep(durationMs, this.wake.signal);
    this.renewWake();
  }

  private async holdOnce(): Promise<void> {
    const { clock, workers } = this.options;
    if (this.isClosed) {
      return;
    }
    const waitMs = this.misses > 0 || this.runs.size === 0 ? 0 : maxHoldWaitMs;
    const isRenewing = this.misses < maxMisses;
    const sentAtMs = clock.nowMs();
    const lastSeenEnd = this.lastSeenEnd;
    const order = {
      fencingToken: this.token,
      lastSeenEnd,
      waitMs,
      ...(isRenewing ? { leaseEndWorkerMs: this.leases.nextLeaseEnd() } : {}),
    };
    const reply = await workers.hold(this.record, order, waitMs + holdSlackMs);
    if (reply.kind === 'held') {
      this.acknowledgedEnd = lastSeenEnd;
      this.apply(reply.report, sentAtMs);
      return;
    }
    await this.takeFailedHold(reply);
  }

  private async takeFailedHold(failure: OrderFailure): Promise<void> {
    switch (failure.kind) {
      case 'stale-token':
        this.noteStaleToken();
        return;
      case 'replaced':
        this.loseAll('another life of the worker answers');
        await this.pauseAfterMiss(failure.kind);
        return;
      case 'unhealthy':
      case 'unreachable':
      case 'no-answer':
        await this.pauseAfterMiss(failure.kind);
        return;
      default:
        return unreachable(failure);
    }
  }

  private noteStaleToken(): void {
    this.refusedToken = this.token;
    this.isTakenOver = false;
    this.logger.warn('Another daemon dispatches to the worker.', {
      workerId: this.workerId,
      token: this.token,
    });
  }

  private async pauseAfterMiss(reason: string): Promise<void> {
    this.misses += 1;
    if (this.misses === maxMisses) {
      this.logger.warn('The worker does not answer.', { workerId: this.workerId, reason });
    }
    if (this.misses >= maxMisses && this.leases.hasAllEnded()) {
      this.loseAll('the worker does not answer');
    }
    if (this.misses >= maxMisses) {
      const pauseMs = Math.min(missPauseMs * (this.misses - 1), maxMissPauseMs);
      await this.options.clock.sleep(pauseMs, this.wake.signal);
      this.renewWake();
    }
  }

  /** Takes a report that was asked for at a time. */
  private apply(report: WorkerReport, sentAtMs: number): void {
    if (this.isClosed) {
      return;
    }
    if (this.misses >= maxMisses) {
      this.logger.info('The worker answers again.', { workerId: this.workerId });
    }
    this.misses = 0;
    this.leases.read(report.workerClockMs);
    this.noteLife(report);
    report.ends.forEach((end) => this.takeEnd(end));
    this.takeRunning(report, sentAtMs);
    this.stopOverdue();
    this.options.onRoom();
  }

  /** A worker that was born anew under its id holds and knows nothing of before. */
  private noteLife({ bornAtMs }: WorkerReport): void {
    if (bornAtMs === undefined || bornAtMs === this.record.bornAtMs) {
      return;
    }
    this.loseAll('the worker was born anew');
    this.lastSeenEnd = 0;
    this.acknowledgedEnd = 0;
    this.record = { ...this.record, bornAtMs };
  }

  private takeEnd(end: ReportedEnd): void {
    if (end.endNumber <= this.lastSeenEnd) {
      return;
    }
    this.lastSeenEnd = end.endNumber;
    const run = this.runs.get(end.taskName);
    if (run?.run === end.run) {
      this.finish(run, this.outcomeOf(run, end));
    }
  }

  private outcomeOf(run: ActiveRun, { how }: ReportedEnd): RunOutcome {
    switch (how) {
      case 'done': {
        const beganAtMs = run.startedAtMs ?? run.orderedAtMs;
        return { kind: 'done', runTimeMs: this.options.clock.nowMs() - beganAtMs };
      }
      case 'failed':
        return { kind: 'failed' };
      case 'stopped':
      case 'lapsed':
      case 'broken':
      case 'alone':
        return { kind: 'lost', reason: how };
      default:
        return unreachable(how);
    }
  }

  private takeRunning({ running }: WorkerReport, sentAtMs: number): void {
    const present = new Set<string>();
    for (const reported of running) {
      const run = this.runs.get(reported.taskName);
      if (run?.run !== reported.run) {
        this.strays.stop(reported);
        continue;
      }
      present.add(run.taskName);
      run.progressPercent = reported.progressPercent;
      this.confirm(run);
    }
    for (const run of this.runs.values()) {
      if (!present.has(run.taskName) && isMissing(run, sentAtMs)) {
        this.finish(run, { kind: 'lost', reason: 'the worker has it no more' });
      }
    }
  }

  private confirm(run: ActiveRun): void {
    if (run.startedAtMs === undefined) {
      run.startedAtMs = this.options.clock.nowMs();
      this.wakeUp();
    }
    if (run.phase === 'starting') {
      run.phase = 'running';
    }
  }

  /** Stops runs that take far longer than expected, so that they start elsewhere. */
  private stopOverdue(): void {
    const nowMs = this.options.clock.nowMs();
    for (const run of this.runs.values()) {
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

  private async order(run: ActiveRun): Promise<void> {
    const { workers } = this.options;
    const { taskName, run: number, task } = run;
    const order = {
      taskName,
      run: number,
      spec: task.batch.content.spec,
      leaseEndWorkerMs: this.leases.nextLeaseEnd(),
      fencingToken: this.token,
    };
    const reply = await workers.start(this.record, order, startTimeoutMs);
    if (this.runs.get(taskName) === run) {
      await this.takeStartReply(run, reply);
    }
  }

  private async takeStartReply(run: ActiveRun, reply: StartReply): Promise<void> {
    switch (reply.kind) {
      case 'started':
        this.leases.read(reply.workerClockMs);
        this.confirm(run);
        return;
      case 'refused':
        this.leases.read(reply.workerClockMs);
        this.takeRefusal(run, reply.reason);
        return;
      case 'invalid':
        this.finish(run, { kind: 'invalid', reason: reply.detail });
        return;
      case 'stale-token':
        this.noteStaleToken();
        this.finish(run, { kind: 'not-started', reason: reply.kind });
        return;
      case 'replaced':
      case 'unhealthy':
      case 'unreachable':
        this.standing.noteRefusal();
        this.finish(run, { kind: 'not-started', reason: reply.kind });
        return;
      case 'no-answer':
        await this.settleUnknownStart(run);
        return;
      default:
        return unreachable(reply);
    }
  }

  private takeRefusal(
    run: ActiveRun,
    reason: Extract<StartReply, { kind: 'refused' }>['reason'],
  ): void {
    switch (reason) {
      case 'used-number':
        this.finish(run, { kind: 'used-number' });
        return;
      case 'no-room':
        this.standing.noteBusy();
        this.finish(run, { kind: 'not-started', reason });
        return;
      case 'lease-over':
        this.finish(run, { kind: 'not-started', reason });
        return;
      default:
        return unreachable(reason);
    }
  }

  /** Finds out whether a start without an answer was carried out; if not, sees that it never is. */
  private async settleUnknownStart(run: ActiveRun): Promise<void> {
    await this.look();
    if (this.runs.get(run.taskName) === run && run.startedAtMs === undefined) {
      run.phase = 'stopping';
      await this.settleByStop(run);
    }
  }

  /** Repeats a stop until the run certainly runs no more. */
  private async settleByStop(run: ActiveRun): Promise<void> {
    const { clock } = this.options;
    while (this.runs.get(run.taskName) === run && !this.isClosed) {
      const isStopped = await this.sendStop(run.taskName, run.run);
      if (isStopped) {
        run.stopAcknowledgedAtMs ??= clock.nowMs();
        await clock.sleep(stopListedMs);
        await this.look();
      } else {
        await clock.sleep(stopListedMs);
      }
    }
  }

  private async sendStop(taskName: string, run: number): Promise<boolean> {
    if (this.token <= this.refusedToken) {
      return false;
    }
    const order = { taskName, run, fencingToken: this.token };
    const reply = await this.options.workers.stop(this.record, order, stopTimeoutMs);
    if (reply.kind === 'stale-token') {
      this.noteStaleToken();
    }
    return reply.kind === 'stopped';
  }

  /** Reads the worker's report beside the hold that waits. */
  private async look(): Promise<void> {
    const { clock, workers } = this.options;
    if (this.token <= this.refusedToken) {
      return;
    }
    const sentAtMs = clock.nowMs();
    const order = { fencingToken: this.token, lastSeenEnd: this.lastSeenEnd, waitMs: 0 };
    const reply: HoldReply = await workers.hold(this.record, order, lookTimeoutMs);
    if (reply.kind === 'held') {
      this.apply(reply.report, sentAtMs);
    }
  }

  private finish(run: ActiveRun, outcome: RunOutcome): void {
    if (this.runs.get(run.taskName) !== run) {
      return;
    }
    this.runs.delete(run.taskName);
    this.used = subtractResources(this.used, run.needs);
    this.options.onEnd(this, run, outcome);
  }

  private loseAll(reason: string): void {
    for (const run of [...this.runs.values()]) {
      this.finish(run, { kind: 'lost', reason });
    }
  }

  private wakeUp(): void {
    abortQuietly(this.wake);
  }

  private renewWake(): void {
    if (this.wake.signal.aborted && !this.isClosed) {
      this.wake = new AbortController();
    }
  }
}

/** Expected time until a run ends; one that takes longer than expected is thought to take on. */
const remainingMs = ({ orderedAtMs, expectedMs }: ActiveRun, nowMs: number): number =>
  Math.max(orderedAtMs + expectedMs - nowMs, expectedMs * overtimeShare);

/** Tells whether a run that a report does not show is certainly gone. */
const isMissing = (run: ActiveRun, sentAtMs: number): boolean => {
  switch (run.phase) {
    case 'starting':
      return false;
    case 'running':
      return run.startedAtMs !== undefined && run.startedAtMs < sentAtMs;
    case 'stopping':
      return run.stopAcknowledgedAtMs !== undefined && run.stopAcknowledgedAtMs < sentAtMs;
    default:
      return unreachable(run.phase);
  }
};
