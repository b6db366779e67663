/**
 * What this daemon knows of jobs that have ended here a while ago: their ends, which a caller asks for again if the answer
 * was lost, and how long runs of them may go on, which are stopped but not proved to have ended.
 */
import type { LeaseTimes } from '../dispatch/leaseTimes.js';
import { unreachable } from '../errors/unreachable.js';
import type { Clock } from '../ports/clock.js';
import type { HolderAnswer } from '../ports/fleetPeers.js';
import type { JobEnd } from '../ports/jobs.js';

const maxJobs = 4_096;
/** Ended jobs are looked through once in this time, in milliseconds, since they are many. */
const evictionPeriodMs = 1_000;

/** A job that has just ended. */
export interface EndedJob {
  readonly jobId: string;
  readonly end: JobEnd;
  /** Whether a task may have run. */
  readonly mayHaveStarted: boolean;
  /** Time by which no run of it goes on, in monotonic time. */
  readonly runsEndAtMs: number;
  /** When this daemon begins to state to others that it holds the job, in monotonic time. */
  readonly statedFromMs: number;
}

interface RememberedJob extends EndedJob {
  /** Time by which none of its runs goes on, since no worker's lease covers them for longer, in monotonic time. */
  readonly runsUntilMs: number;
}

export class EndedJobs {
  /** By job id, the one that ended first is at the beginning. */
  private readonly jobs = new Map<string, RememberedJob>();
  private evictedAtMs = -Infinity;
  /** Time until which a run of a job may go on that was forgotten for lack of room, in monotonic time. */
  private forgottenUntilMs = -Infinity;

  private constructor(
    private readonly clock: Clock,
    private readonly leaseTimes: Pick<LeaseTimes, 'confirmationMs'>,
  ) {}

  static create(clock: Clock, leaseTimes: Pick<LeaseTimes, 'confirmationMs'>): EndedJobs {
    return new EndedJobs(clock, leaseTimes);
  }

  get size(): number {
    return this.jobs.size;
  }

  /** Records a job that ends now. Its batches are withdrawn, and confirmed no more. */
  record(job: EndedJob): void {
    const nowMs = this.clock.nowMs();
    this.evictOld(nowMs);
    const confirmedUntilMs = nowMs + this.leaseTimes.confirmationMs;
    const runsUntilMs = mayRunOn(job) ? Math.min(job.runsEndAtMs, confirmedUntilMs) : nowMs;
    this.jobs.delete(job.jobId);
    this.jobs.set(job.jobId, { ...job, runsUntilMs });
    const [first] = this.jobs.values();
    if (this.jobs.size > maxJobs && first !== undefined) {
      this.jobs.delete(first.jobId);
      this.forgottenUntilMs = Math.max(this.forgottenUntilMs, first.runsUntilMs);
    }
  }

  /** @returns what another daemon is told of a job that does not run here */
  answerFor(jobId: string): HolderAnswer {
    const job = this.jobs.get(jobId);
    if (job === undefined) {
      return { kind: this.clock.nowMs() < this.forgottenUntilMs ? 'unknown' : 'none-runs' };
    }
    const { end, runsUntilMs } = job;
    switch (end.kind) {
      case 'completed':
      case 'failed':
        return { kind: 'ended', end };
      case 'given-up':
      case 'refused':
      case 'cancelled': {
        const leftMs = runsUntilMs - this.clock.nowMs();
        return leftMs > 0 ? { kind: 'may-run', leftMs } : { kind: 'none-runs' };
      }
      default:
        return unreachable(end);
    }
  }

  /** Whether a task may have run of a job that has ended here. */
  mayHaveRun(jobId: string): boolean {
    const job = this.jobs.get(jobId);
    return job === undefined ? this.clock.nowMs() < this.forgottenUntilMs : job.mayHaveStarted;
  }

  /** Lists the jobs of which runs may go on, with the time by which they have ended, in monotonic time. */
  listRunning(): readonly (Pick<EndedJob, 'jobId' | 'statedFromMs'> & { untilMs: number })[] {
    const nowMs = this.clock.nowMs();
    return [...this.jobs.values()]
      .filter(({ runsUntilMs }) => runsUntilMs > nowMs)
      .map(({ jobId, statedFromMs, runsUntilMs: untilMs }) => ({
        ...{ jobId, statedFromMs, untilMs },
      }));
  }

  /** Removes the jobs whose callers have stopped to wait, and with them those whose runs have ended. */
  private evictOld(nowMs: number): void {
    if (nowMs - this.evictedAtMs < evictionPeriodMs) {
      return;
    }
    this.evictedAtMs = nowMs;
    for (const [jobId, { runsEndAtMs }] of this.jobs) {
      if (runsEndAtMs <= nowMs) {
        this.jobs.delete(jobId);
      }
    }
  }
}

/** Whether a run of a job may go on after its end. */
const mayRunOn = ({ end, mayHaveStarted }: EndedJob): boolean => {
  switch (end.kind) {
    case 'completed':
    case 'refused':
      return false;
    case 'failed':
    case 'given-up':
    case 'cancelled':
      return mayHaveStarted;
    default:
      return unreachable(end);
  }
};
