/**
 * Workers that run tasks on a fake clock and crash under tasks that a test names.
 */
import type { Clock } from '../ports/clock.js';
import type {
  HoldOrder,
  HoldReply,
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

/** A start that a worker carried out. */
export interface SimulatedStart {
  readonly workerId: string;
  readonly taskName: string;
  readonly run: number;
  readonly atMs: number;
  /** Names of the tasks that ran there already. */
  readonly besides: readonly string[];
}

interface SimulatedWorker {
  startedAtMs: number;
  isDown: boolean;
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
}

export class SimulatedWorkers implements WorkerPort {
  readonly starts: SimulatedStart[] = [];
  private readonly workers = new Map<string, SimulatedWorker>();

  private constructor(private readonly options: SimulatedWorkersOptions) {}

  static create(options: SimulatedWorkersOptions): SimulatedWorkers {
    return new SimulatedWorkers(options);
  }

  /** @returns the starts of one task, in order */
  startsOf(taskName: string): SimulatedStart[] {
    return this.starts.filter((start) => start.taskName === taskName);
  }

  /** Crashes a worker; it restarts under its id some seconds later. */
  async crash(workerId: string): Promise<void> {
    const worker = this.find(workerId);
    worker.isDown = true;
    worker.runs.clear();
    worker.ends = [];
    worker.lastEndNumber = 0;
    await this.options.clock.sleep(restartDelayMs);
    worker.startedAtMs += 1;
    worker.isDown = false;
  }

  async start({ workerId }: WorkerTarget, order: RunOrder): Promise<StartReply> {
    const { clock, crashesWorker } = this.options;
    const { taskName, run } = order;
    const worker = this.find(workerId);
    if (worker.isDown) {
      return { kind: 'unreachable', detail: 'it is down' };
    }
    const besides = [...worker.runs.keys()];
    this.starts.push({ workerId, taskName, run, atMs: clock.nowMs(), besides });
    worker.runs.set(taskName, run);
    void (crashesWorker(taskName) ? this.crashSoon(workerId) : this.endLater(worker, order));
    return { kind: 'started', workerClockMs: clock.nowMs() };
  }

  async stop({ workerId }: WorkerTarget, { taskName }: StopOrder): Promise<StopReply> {
    const worker = this.find(workerId);
    worker.runs.delete(taskName);
    return worker.isDown ? { kind: 'unreachable', detail: 'it is down' } : { kind: 'stopped' };
  }

  async hold({ workerId }: WorkerTarget, order: HoldOrder): Promise<HoldReply> {
    const { clock } = this.options;
    const worker = this.find(workerId);
    const { startedAtMs } = worker;
    worker.ends = worker.ends.filter(({ endNumber }) => endNumber > order.lastSeenEnd);
    const untilMs = clock.nowMs() + order.waitMs;
    while (!worker.isDown && worker.ends.length === 0 && clock.nowMs() < untilMs) {
      await clock.sleep(holdStepMs);
    }
    if (worker.isDown) {
      return { kind: 'unreachable', detail: 'it is down' };
    }
    const running = [...worker.runs].map(([taskName, run]) => ({ taskName, run }));
    const report = { workerClockMs: clock.nowMs(), startedAtMs, running, ends: [...worker.ends] };
    return { kind: 'held', report };
  }

  async disconnect(): Promise<void> {
    // Nothing to release.
  }

  async close(): Promise<void> {
    // Nothing to release.
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
      isDown: false,
      runs: new Map<string, number>(),
      ends: [],
      lastEndNumber: 0,
    };
    this.workers.set(workerId, worker);
    return worker;
  }
}
