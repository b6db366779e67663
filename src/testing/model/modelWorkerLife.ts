/**
 * One lifetime of a worker of the model: all that it knows of its runs, their ends, the lease and the fencing
 * token. The next lifetime knows nothing of it, and its counts and its clock start anew.
 */
import type { HoldOrder, RunOrder, StopOrder } from '../../ports/workers.js';
import type { ReportedEnd, RunEndKind, WorkerReport } from '../../types/workers.js';
import { abortQuietly } from '../../utils/abortQuietly.js';
import type { FakeClock } from '../fakeClock.js';
import { modelEpochMs } from './modelProcess.js';
import { isFirstTask, runMsOf, taskSpecSchema } from './modelRun.js';
import type { ModelRun, ModelRunEnd } from './modelRun.js';

/** Longest lease, in milliseconds on the worker's clock. */
export const maxLeaseMs = 1_000;
const maxHoldWaitMs = 2_000;
const maxListedEnds = 500;

/** Why an order is refused; nothing was done then. */
export type Refusal = 'stale-token' | 'lease-over' | 'used-number' | 'no-room';

export interface ModelWorkerLifeOptions {
  readonly time: FakeClock;
  readonly workerId: string;
  readonly life: number;
  readonly cpuMillis: number;
  /** Whether it refuses what does not fit. */
  readonly guardsCapacity: boolean;
  /** Speed of the worker's clock: 1, or up to 2% less. */
  readonly clockRate: number;
  /** Time that a stop takes, in milliseconds. */
  readonly stopMs: number;
  /** Called with each run that begins. */
  readonly onRun: (run: ModelRun) => void;
  /** Called when a run crashes the worker. */
  readonly onCrash: () => void;
}

interface ActiveModelRun {
  readonly record: ModelRun;
  /** Ends its timers. */
  readonly over: AbortController;
}

export class ModelWorkerLife {
  /** Start of the lifetime on the wall clock. */
  readonly bornMs: number;
  private readonly clockStartMs: number;
  private readonly runs = new Map<string, ActiveModelRun>();
  /** Highest number of a run that was stopped or has ended, by task. */
  private readonly highestEnded = new Map<string, number>();
  private ends: ReportedEnd[] = [];
  private lastEndNumber = 0;
  private token = 0;
  private leaseEndMs = 0;
  private isWatchingLease = false;
  /** Wakes the holds that wait for an end. */
  private nextEnd = new AbortController();

  private constructor(private readonly options: ModelWorkerLifeOptions) {
    this.clockStartMs = options.time.nowMs();
    this.bornMs = modelEpochMs + Math.floor(this.clockStartMs);
  }

  static create(options: ModelWorkerLifeOptions): ModelWorkerLife {
    return new ModelWorkerLife(options);
  }

  /** The time on the worker's clock, in whole milliseconds. */
  get clockMs(): number {
    return Math.floor(this.exactClockMs);
  }

  get runCount(): number {
    return this.runs.size;
  }

  /** Whether a run of some job is in progress. */
  runsJob(jobId: string): boolean {
    return [...this.runs.keys()].some((taskName) => taskName.startsWith(jobId));
  }

  /** @returns why the start is refused; nothing if the run has begun or is there already */
  start({ taskName, run, spec, leaseEndWorkerMs, fencingToken }: RunOrder): Refusal | undefined {
    if (!this.acceptsToken(fencingToken)) {
      return 'stale-token';
    }
    const present = this.runs.get(taskName)?.record.run;
    if (present === run) {
      return undefined;
    }
    if (leaseEndWorkerMs < this.clockMs) {
      return 'lease-over';
    }
    this.extendLease(leaseEndWorkerMs);
    if (run <= Math.max(this.highestEnded.get(taskName) ?? 0, present ?? 0)) {
      return 'used-number';
    }
    const task = taskSpecSchema.parse(JSON.parse(spec));
    if (this.options.guardsCapacity && !this.hasRoomFor(task.cpuMillis)) {
      return 'no-room';
    }
    const { workerId, life, cpuMillis, time, onRun } = this.options;
    const startedAtMs = time.nowMs();
    const record: ModelRun = {
      ...{ workerId, life, taskName, run, spec: task, startedAtMs },
      workerCpuMillis: cpuMillis,
      ...{ endedAtMs: undefined, how: undefined },
    };
    const active = { record, over: new AbortController() };
    this.runs.set(taskName, active);
    onRun(record);
    void this.runToEnd(active);
    void this.watchLease();
    return undefined;
  }

  /** @returns why the stop is refused; nothing if the run ends within the time of a stop */
  stop({ taskName, run, fencingToken }: StopOrder): Refusal | undefined {
    if (!this.acceptsToken(fencingToken)) {
      return 'stale-token';
    }
    this.recordEnded(taskName, run);
    const active = this.runs.get(taskName);
    if (active?.record.run === run) {
      void this.endAfter(active, this.options.stopMs, 'stopped');
    }
    return undefined;
  }

  /** Renews the lease, forgets the acknowledged ends, and may wait for the next one. */
  async hold(order: HoldOrder): Promise<WorkerReport | Refusal> {
    if (!this.acceptsToken(order.fencingToken)) {
      return 'stale-token';
    }
    this.extendLease(order.leaseEndWorkerMs ?? 0);
    this.ends = this.ends.filter(({ endNumber }) => endNumber > order.lastSeenEnd);
    if (this.ends.length === 0 && order.waitMs > 0) {
      await this.options.time.sleep(Math.min(order.waitMs, maxHoldWaitMs), this.nextEnd.signal);
    }
    return {
      workerClockMs: this.clockMs,
      startedAtMs: this.bornMs,
      running: [...this.runs.values()].map(({ record: { taskName, run } }) => ({ taskName, run })),
      ends: this.ends.slice(0, maxListedEnds),
    };
  }

  /** Ends the lifetime with all its runs. */
  end(how: 'crashed' | 'left'): void {
    [...this.runs.values()].forEach((active) => this.endRun(active, how));
  }

  private get exactClockMs(): number {
    return (this.options.time.nowMs() - this.clockStartMs) * this.options.clockRate;
  }

  private acceptsToken(token: number): boolean {
    this.token = Math.max(this.token, token);
    return token === this.token;
  }

  /** The lease is at most `maxLeaseMs` long, and never becomes shorter. */
  private extendLease(untilMs: number): void {
    this.leaseEndMs = Math.max(this.leaseEndMs, Math.min(untilMs, this.clockMs + maxLeaseMs));
  }

  /** Ends all runs when the lease expires. */
  private async watchLease(): Promise<void> {
    if (this.isWatchingLease) {
      return;
    }
    this.isWatchingLease = true;
    const { time, clockRate } = this.options;
    while (this.runs.size > 0 && this.exactClockMs < this.leaseEndMs) {
      await time.sleep((this.leaseEndMs - this.exactClockMs) / clockRate + 0.01);
    }
    [...this.runs.values()].forEach((active) => this.endRun(active, 'lapsed'));
    this.isWatchingLease = false;
  }

  private hasRoomFor(cpuMillis: number): boolean {
    const used = [...this.runs.values()].reduce((sum, one) => sum + one.record.spec.cpuMillis, 0);
    return used + cpuMillis <= this.options.cpuMillis;
  }

  /** Lets a run go on until its task ends in one way or another. */
  private async runToEnd(active: ActiveModelRun): Promise<void> {
    const { spec, taskName } = active.record;
    const isFaulty = isFirstTask(taskName);
    const runMs = runMsOf(taskName, spec);
    if (!isFaulty || !spec.isDeadly) {
      return this.endAfter(active, runMs, isFaulty && spec.isFailing ? 'failed' : 'done');
    }
    await this.options.time.sleep(runMs, active.over.signal);
    if (this.runs.get(taskName) === active) {
      this.options.onCrash();
    }
  }

  private async endAfter(active: ActiveModelRun, ms: number, how: ModelRunEnd): Promise<void> {
    await this.options.time.sleep(ms, active.over.signal);
    this.endRun(active, how);
  }

  private endRun(active: ActiveModelRun, how: ModelRunEnd): void {
    const { record, over } = active;
    const { taskName, run } = record;
    if (this.runs.get(taskName) !== active) {
      return;
    }
    this.runs.delete(taskName);
    record.endedAtMs = this.options.time.nowMs();
    record.how = how;
    abortQuietly(over);
    this.recordEnded(taskName, run);
    if (how === 'crashed' || how === 'left') {
      return;
    }
    this.reportEnd({ taskName, run, how });
  }

  private reportEnd(end: { taskName: string; run: number; how: RunEndKind }): void {
    this.lastEndNumber += 1;
    this.ends.push({ endNumber: this.lastEndNumber, ...end });
    const wake = this.nextEnd;
    this.nextEnd = new AbortController();
    abortQuietly(wake);
  }

  private recordEnded(taskName: string, run: number): void {
    this.highestEnded.set(taskName, Math.max(this.highestEnded.get(taskName) ?? 0, run));
  }
}
