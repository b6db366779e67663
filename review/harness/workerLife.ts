/**
 * One life of a worker: all that it knows of its runs, their ends, the lease and the fencing token. A crash
 * ends a life; the next one knows nothing of it, and its counts and its clock start anew.
 */
import type { Record } from './record.js';
import { describeRun } from './run.js';
import type { Run, RunEnd } from './run.js';

const maxLeaseMs = 1_000;
/** Time that a stop takes; the bound is 50 ms. */
const stopMs = 30;
const maxListedEnds = 500;
const maxWaitMs = 2_000;

/** Body of an order; each order has the fields that it needs. */
export interface Order {
  readonly task?: string;
  readonly runId?: number;
  readonly taskSpec?: string;
  readonly deadlineMs?: number;
  readonly fencingToken?: number;
  readonly lastSeen?: number;
  readonly waitMs?: number;
}

/** What a task does, as the text of `taskSpec`: for how long it runs, and on how many cores. */
export interface TaskSpec {
  readonly runMs: number;
  readonly cpu: number;
}

/** Why a start is refused. */
export type Refusal = 'late' | 'old' | 'room';

export interface WorkerLifeOptions {
  readonly workerId: string;
  /** Thousandths of a core. */
  readonly cpu: number;
  readonly record: Record;
  /** Called with each run that begins. */
  readonly onRun: (run: Run) => void;
}

export class WorkerLife {
  /** Start of the life in Unix milliseconds. */
  readonly bornMs = Date.now();
  private readonly clockStartMs = performance.now();
  private readonly runs = new Map<string, Run>();
  private readonly timers = new Map<string, NodeJS.Timeout>();
  /** Highest number of a run that was stopped or has ended, by task. */
  private readonly highestEnded = new Map<string, number>();
  private ends: [number, string, number, RunEnd, string][] = [];
  private lastEnd = 0;
  private token = 0;
  private leaseEndMs = 0;
  /** Wake the holds that wait for an end. */
  private readonly waiters = new Set<() => void>();

  private constructor(private readonly options: WorkerLifeOptions) {}

  static create(options: WorkerLifeOptions): WorkerLife {
    return new WorkerLife(options);
  }

  get runCount(): number {
    return this.runs.size;
  }

  /** The time on the worker's clock, in milliseconds. */
  get clockMs(): number {
    return Math.round(performance.now() - this.clockStartMs);
  }

  /** @returns whether an order with this fencing token is carried out */
  acceptsToken(token: number): boolean {
    this.token = Math.max(this.token, token);
    return token === this.token;
  }

  /** @returns why the start is refused; nothing if the run has begun or is there already */
  startRun({ task = '', runId = 0, deadlineMs = 0, taskSpec = '' }: Order): Refusal | undefined {
    const spec = JSON.parse(taskSpec) as TaskSpec;
    if (this.runs.get(task)?.runId === runId) {
      return undefined;
    }
    if (deadlineMs < this.clockMs) {
      return 'late';
    }
    this.extendLease(deadlineMs);
    const highest = Math.max(this.highestEnded.get(task) ?? 0, this.runs.get(task)?.runId ?? 0);
    if (runId <= highest) {
      return 'old';
    }
    const used = [...this.runs.values()].reduce((sum, { cpu }) => sum + cpu, 0);
    if (used + spec.cpu > this.options.cpu) {
      return 'room';
    }
    this.beginRun(task, runId, spec);
    return undefined;
  }

  stopRun({ task = '', runId = 0 }: Order): void {
    this.recordEnded(task, runId);
    const run = this.runs.get(task);
    if (run?.runId === runId) {
      setTimeout(() => this.end(run, 'stopped'), stopMs);
    }
  }

  /** Renews the lease, forgets the acknowledged ends, and may wait for the next one. */
  async hold({ deadlineMs = 0, lastSeen = 0, waitMs = 0 }: Order): Promise<object> {
    this.extendLease(deadlineMs);
    this.ends = this.ends.filter(([number]) => number > lastSeen);
    if (this.ends.length === 0 && waitMs > 0) {
      await this.waitForEnd(Math.min(waitMs, maxWaitMs));
    }
    return {
      running: [...this.runs.values()].map(({ task, runId }) => [task, runId, '', 50]),
      finished: this.ends.slice(0, maxListedEnds),
    };
  }

  endLapsedRuns(): void {
    if (this.clockMs > this.leaseEndMs) {
      this.endAll('lapsed');
    }
  }

  /** Ends the life with all its runs. */
  crash(): void {
    this.endAll('crashed');
    this.waiters.forEach((wake) => wake());
  }

  private beginRun(task: string, runId: number, { runMs, cpu }: TaskSpec): void {
    const { record, workerId, onRun } = this.options;
    const run: Run = {
      workerId,
      task,
      runId,
      token: this.token,
      cpu,
      startedAtMs: record.nowMs(),
      endedAtMs: undefined,
      how: undefined,
    };
    this.runs.set(task, run);
    this.timers.set(
      task,
      setTimeout(() => this.end(run, 'done'), runMs),
    );
    onRun(run);
    record.write(`worker ${workerId}: starts ${task} run ${runId}, token ${this.token}`);
  }

  /** The lease is at most `maxLeaseMs` long, and never becomes shorter. */
  private extendLease(deadlineMs: number): void {
    const latestMs = this.clockMs + maxLeaseMs;
    this.leaseEndMs = Math.max(this.leaseEndMs, Math.min(deadlineMs, latestMs));
  }

  private endAll(how: RunEnd): void {
    [...this.runs.values()].forEach((run) => this.end(run, how));
  }

  private end(run: Run, how: RunEnd): void {
    if (this.runs.get(run.task) !== run) {
      return;
    }
    clearTimeout(this.timers.get(run.task));
    this.timers.delete(run.task);
    this.runs.delete(run.task);
    this.recordEnded(run.task, run.runId);
    run.endedAtMs = this.options.record.nowMs();
    run.how = how;
    this.lastEnd += 1;
    this.ends.push([this.lastEnd, run.task, run.runId, how, '']);
    this.options.record.write(`worker ${run.workerId}: ended ${describeRun(run)}`);
    this.waiters.forEach((wake) => wake());
  }

  private recordEnded(task: string, runId: number): void {
    this.highestEnded.set(task, Math.max(this.highestEnded.get(task) ?? 0, runId));
  }

  private waitForEnd(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        clearTimeout(timer);
        this.waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      this.waiters.add(wake);
    });
  }
}
