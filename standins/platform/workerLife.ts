/**
 * One life of a worker stand-in, from its start until a crash: its clock, its lease, its fencing token, its
 * runs and their ends. The next life of the worker knows nothing of it.
 */
import { ReportedEnds } from './reportedEnds.js';
import type { RunOutcome, StandInRun, StandInSpec, StartRecord } from './standInRun.js';

const maxLeaseMs = 1_000;
const leaseCheckMs = 10;
/** Time from the start of a crashing task to the crash of its worker, in milliseconds, unless stated. */
const defaultCrashAfterMs = 20;

/** Body of a start, stop or hold order; each uses the fields that it needs. */
export interface OrderBody {
  readonly task: string;
  readonly runId: number;
  readonly taskSpec: string;
  readonly deadlineMs?: number;
  readonly fencingToken?: number;
  readonly lastSeen?: number;
  readonly waitMs?: number;
}

/** How the runs of a worker go: as specified, failing at once, or without an end of their own. */
export type RunBehaviour = 'as-specified' | 'failing' | 'hanging';

/** Why a start is refused. */
export type StartRefusal = 'late' | 'old' | 'room';

export interface WorkerLifeOptions {
  readonly workerId: string;
  /** Thousandths of a core. */
  readonly cpu: number;
  /** Slowdown factor: run time over the run time of the specification. */
  readonly slowness: number;
  /** Time on the worker's clock over true time. */
  readonly clockRate: number;
  /** Time that a stop takes, in milliseconds. */
  readonly stopMs: number;
  /** Called with each run that begins. */
  readonly onStart: (record: StartRecord) => void;
  /** Called when a task crashes the worker. */
  readonly onCrashingTask: () => void;
}

export class WorkerLife {
  /** Start of this life, in Unix milliseconds. */
  readonly bornMs = Date.now();
  private readonly bornAtMs = performance.now();
  /** Whether the life has ended. */
  isOver = false;
  /** Runs that have not ended, also those that are being stopped. */
  private readonly runs = new Set<StandInRun>();
  /** Highest run number that was stopped or has ended, by task; it and lower ones are refused. */
  private readonly ended = new Map<string, number>();
  private readonly ends = ReportedEnds.create();
  private highestFencingToken = 0;
  /** End of the lease of all runs, on the worker's clock. */
  private leaseEndMs = 0;
  private readonly leaseTimer: NodeJS.Timeout;

  private constructor(private readonly options: WorkerLifeOptions) {
    this.leaseTimer = setInterval(() => this.endRunsOfLapsedLease(), leaseCheckMs);
  }

  static create(options: WorkerLifeOptions): WorkerLife {
    return new WorkerLife(options);
  }

  /** @returns the time on the worker's clock, in whole milliseconds since its start */
  get clockMs(): number {
    return Math.round((performance.now() - this.bornAtMs) * this.options.clockRate);
  }

  /** @returns whether an order with this fencing token is carried out */
  acceptsToken(token: number): boolean {
    this.highestFencingToken = Math.max(this.highestFencingToken, token);
    return token === this.highestFencingToken;
  }

  /** @returns why the start is refused; undefined if the run has started, also by an earlier order */
  start(
    { task, runId, taskSpec, deadlineMs = 0 }: OrderBody,
    behaviour: RunBehaviour,
  ): StartRefusal | undefined {
    const spec = JSON.parse(taskSpec) as StandInSpec;
    const runsOfTask = [...this.runs].filter((run) => run.task === task);
    if (runsOfTask.some(({ run }) => run === runId)) {
      return undefined;
    }
    if (deadlineMs < this.clockMs) {
      return 'late';
    }
    this.extendLease(deadlineMs);
    if (runId <= Math.max(this.ended.get(task) ?? 0, ...runsOfTask.map(({ run }) => run))) {
      return 'old';
    }
    const used = [...this.runs].reduce((sum, { cpu }) => sum + cpu, 0);
    if (used + spec.cpu > this.options.cpu) {
      return 'room';
    }
    this.begin(task, runId, spec, behaviour);
    return undefined;
  }

  /** Stops a run, which goes on until the time of a stop has passed; the run can't start any more. */
  stop({ task, runId }: OrderBody): void {
    this.recordEnded(task, runId);
    for (const run of this.runs) {
      if (run.task === task && run.run === runId) {
        setTimeout(() => this.end(run, 'stopped'), this.options.stopMs);
      }
    }
  }

  /**
   * Extends the lease, forgets the acknowledged ends, and waits for the next end if asked to.
   *
   * @returns the lists of the report; undefined if the life has ended
   */
  async hold({ deadlineMs = 0, lastSeen = 0, waitMs = 0 }: OrderBody): Promise<object | undefined> {
    this.extendLease(deadlineMs);
    this.ends.acknowledge(lastSeen);
    await this.ends.waitForEnd(waitMs);
    if (this.isOver) {
      return undefined;
    }
    return {
      born: this.bornMs,
      running: [...this.runs].map(({ task, run }) => [task, run, '', 50]),
      finished: this.ends
        .list()
        .map(({ sequence, task, run, outcome }) => [sequence, task, run, outcome, '']),
    };
  }

  /** Ends the life with all its runs, which nobody hears of. */
  crash(): void {
    this.isOver = true;
    clearInterval(this.leaseTimer);
    [...this.runs].forEach((run) => this.end(run, 'crashed'));
    this.ends.wakeAll();
  }

  private begin(task: string, run: number, spec: StandInSpec, behaviour: RunBehaviour): void {
    const { workerId, slowness, onStart, onCrashingTask } = this.options;
    const record: StartRecord = {
      workerId,
      bornMs: this.bornMs,
      task,
      run,
      token: this.highestFencingToken,
      startedAtMs: performance.now(),
      endedAtMs: undefined,
      outcome: undefined,
    };
    onStart(record);
    const fails = spec.fails === true || behaviour === 'failing';
    const runMs = behaviour === 'failing' ? 1 : spec.runMs * slowness;
    const timer = setTimeout(() => this.end(active, fails ? 'failed' : 'done'), runMs);
    const active: StandInRun = { task, run, cpu: spec.cpu, record, timer };
    if (behaviour === 'hanging') {
      clearTimeout(timer);
    }
    this.runs.add(active);
    if (spec.crashingTask === task) {
      setTimeout(() => !this.isOver && onCrashingTask(), spec.crashAfterMs ?? defaultCrashAfterMs);
    }
  }

  /** Extends the lease to a deadline, at most `maxLeaseMs` from now; it is never shortened. */
  private extendLease(deadlineMs: number): void {
    const latestEndMs = this.clockMs + maxLeaseMs;
    this.leaseEndMs = Math.max(this.leaseEndMs, Math.min(deadlineMs, latestEndMs));
  }

  private endRunsOfLapsedLease(): void {
    if (this.clockMs > this.leaseEndMs) {
      [...this.runs].forEach((run) => this.end(run, 'lapsed'));
    }
  }

  /** Prevents this run and lower ones of the task from starting. */
  private recordEnded(task: string, run: number): void {
    this.ended.set(task, Math.max(this.ended.get(task) ?? 0, run));
  }

  /** Ends a run unless it has ended, and wakes the hold orders that wait for an end. */
  private end(active: StandInRun, outcome: RunOutcome): void {
    if (!this.runs.delete(active)) {
      return;
    }
    const { task, run, record, timer } = active;
    clearTimeout(timer);
    this.recordEnded(task, run);
    record.endedAtMs = performance.now();
    record.outcome = outcome;
    this.ends.add(task, run, outcome);
  }
}
