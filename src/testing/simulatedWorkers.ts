/**
 * Workers that run tasks on a fake clock and crash under tasks that a test names.
 */
import type { Clock } from '../ports/clock.js';
import type {
  HoldOrder,
  HoldReply,
  OrderFailure,
  RunOrder,
  StartReply,
  StopOrder,
  StopReply,
  WorkerPort,
  WorkerTarget,
} from '../ports/workers.js';
import type { ReportedEnd } from '../types/workers.js';

const crashDelayMs = 10;
const restartDelayMs = 3_000;
const holdStepMs = 10;
/** Age of the workers at the start of a test. */
const initialAgeMs = 1_000_000;
/** Longest time that an order waits for its answer. */
const silenceMs = 150;

/** A start that a worker carried out. */
export interface SimulatedStart {
  readonly workerId: string;
  readonly taskName: string;
  readonly run: number;
  readonly atMs: number;
  /** Names of the tasks that ran there already. */
  readonly besides: readonly string[];
  /** Other workers on which the task ran at that time. */
  readonly elsewhere: readonly string[];
}

/** `silent`: nothing arrives. `reset`: the same, and connections are reset when it begins. `refusing`: they are refused. */
export type CutKind = 'silent' | 'reset' | 'refusing';

/** Whether connections to a worker that is down are refused, or get no answer. */
export type DownKind = 'refused' | 'silent';

interface SimulatedWorker {
  startedAtMs: number;
  /** When its own clock showed 0. */
  clockStartMs: number;
  isDown: boolean;
  /** How it is cut off, while its runs go on. */
  cut: CutKind | undefined;
  readonly runs: Map<string, number>;
  ends: ReportedEnd[];
  lastEndNumber: number;
}

export interface SimulatedWorkersOptions {
  readonly clock: Clock;
  /** Run time of every task, in milliseconds. */
  readonly runMs: number;
  /** Start time of every worker, as its entry states it. */
  readonly startedAtMs: number;
  /** Whether a task crashes the worker that starts it. */
  readonly crashesWorker: (taskName: string) => boolean;
  /** Time for which a worker is down after a crash, in milliseconds. */
  readonly crashDownMs?: number | undefined;
  readonly down?: DownKind | undefined;
}

export class SimulatedWorkers implements WorkerPort {
  readonly starts: SimulatedStart[] = [];
  /** Orders that were sent to the workers. */
  orderCount = 0;
  private readonly workers = new Map<string, SimulatedWorker>();

  private constructor(private readonly options: SimulatedWorkersOptions) {}

  static create(options: SimulatedWorkersOptions): SimulatedWorkers {
    return new SimulatedWorkers(options);
  }

  /** @returns the starts of one task, in order */
  startsOf(taskName: string): SimulatedStart[] {
    return this.starts.filter((start) => start.taskName === taskName);
  }

  /** @returns the names of the tasks that run on any worker */
  runningTaskNames(): string[] {
    return [...this.workers.values()].flatMap(({ runs }) => [...runs.keys()]);
  }

  get runCount(): number {
    return this.runningTaskNames().length;
  }

  /** Cuts a worker off for a time in milliseconds; its runs go on. */
  async cutOff(workerId: string, durationMs: number, cut: CutKind = 'silent'): Promise<void> {
    const worker = this.find(workerId);
    worker.cut = cut;
    await this.options.clock.sleep(durationMs);
    worker.cut = undefined;
  }

  /** Crashes a worker; it restarts under its id after a time in milliseconds, and its clock starts anew. */
  async crash(
    workerId: string,
    downMs = this.options.crashDownMs ?? restartDelayMs,
  ): Promise<void> {
    const worker = this.find(workerId);
    worker.isDown = true;
    worker.runs.clear();
    worker.ends = [];
    worker.lastEndNumber = 0;
    await this.options.clock.sleep(downMs);
    worker.startedAtMs += 1;
    worker.clockStartMs = this.options.clock.nowMs();
    worker.isDown = false;
  }

  async start({ workerId }: WorkerTarget, order: RunOrder): Promise<StartReply> {
    this.orderCount += 1;
    const { clock, crashesWorker } = this.options;
    const { taskName, run } = order;
    const worker = this.find(workerId);
    const failure = this.failureOf(worker);
    if (failure !== undefined) {
      return failure;
    }
    const besides = [...worker.runs.keys()];
    const elsewhere = [...this.workers]
      .filter(([id, other]) => id !== workerId && other.runs.has(taskName))
      .map(([id]) => id);
    this.starts.push({ workerId, taskName, run, atMs: clock.nowMs(), besides, elsewhere });
    worker.runs.set(taskName, run);
    void (crashesWorker(taskName) ? this.crashSoon(workerId) : this.endLater(worker, order));
    return { kind: 'started', workerClockMs: this.clockOf(worker) };
  }

  async stop({ workerId }: WorkerTarget, { taskName }: StopOrder): Promise<StopReply> {
    this.orderCount += 1;
    const worker = this.find(workerId);
    const failure = this.failureOf(worker);
    if (failure !== undefined) {
      return failure;
    }
    worker.runs.delete(taskName);
    return { kind: 'stopped' };
  }

  async hold({ workerId }: WorkerTarget, order: HoldOrder): Promise<HoldReply> {
    this.orderCount += 1;
    const { clock } = this.options;
    const worker = this.find(workerId);
    const failure = this.failureOf(worker);
    if (failure !== undefined) {
      return failure;
    }
    worker.ends = worker.ends.filter(({ endNumber }) => endNumber > order.lastSeenEnd);
    const untilMs = clock.nowMs() + order.waitMs;
    const { startedAtMs } = worker;
    const isBroken = (): boolean =>
      worker.cut === 'reset' || worker.isDown || worker.startedAtMs !== startedAtMs;
    while (!isBroken() && worker.ends.length === 0 && clock.nowMs() < untilMs) {
      await clock.sleep(holdStepMs);
    }
    if (worker.cut === 'silent' || (worker.isDown && this.options.down === 'silent')) {
      return this.answerNothing();
    }
    if (isBroken()) {
      return { kind: 'disconnected', detail: 'its connection was reset' };
    }
    const running = [...worker.runs].map(([taskName, run]) => ({ taskName, run }));
    const { ends } = worker;
    const workerClockMs = this.clockOf(worker);
    return { kind: 'held', report: { workerClockMs, startedAtMs, running, ends: [...ends] } };
  }

  async disconnect(): Promise<void> {
    // Nothing to release.
  }

  async close(): Promise<void> {
    // Nothing to release.
  }

  /** @returns why an order that is sent now fails, if it does */
  private failureOf({
    cut,
    isDown,
  }: SimulatedWorker): OrderFailure | Promise<OrderFailure> | undefined {
    if (cut === 'refusing' || (cut === undefined && isDown && this.options.down !== 'silent')) {
      return { kind: 'unreachable', detail: 'the connection is refused' };
    }
    return cut !== undefined || isDown ? this.answerNothing() : undefined;
  }

  private async answerNothing(): Promise<Extract<OrderFailure, { kind: 'no-answer' }>> {
    await this.options.clock.sleep(silenceMs);
    return { kind: 'no-answer', detail: 'it is cut off' };
  }

  private clockOf({ clockStartMs }: SimulatedWorker): number {
    return this.options.clock.nowMs() - clockStartMs;
  }

  private async crashSoon(workerId: string): Promise<void> {
    await this.options.clock.sleep(crashDelayMs);
    await this.crash(workerId);
  }

  private async endLater(worker: SimulatedWorker, { taskName, run }: RunOrder): Promise<void> {
    const { startedAtMs } = worker;
    await this.options.clock.sleep(this.options.runMs);
    if (worker.startedAtMs !== startedAtMs || worker.runs.get(taskName) !== run) {
      return;
    }
    worker.runs.delete(taskName);
    worker.lastEndNumber += 1;
    worker.ends.push({ endNumber: worker.lastEndNumber, taskName, run, how: 'done' });
  }

  private find(workerId: string): SimulatedWorker {
    const { startedAtMs } = this.options;
    const worker = this.workers.get(workerId) ?? {
      startedAtMs,
      clockStartMs: this.options.clock.nowMs() - initialAgeMs,
      isDown: false,
      cut: undefined,
      runs: new Map<string, number>(),
      ends: [],
      lastEndNumber: 0,
    };
    this.workers.set(workerId, worker);
    return worker;
  }
}
