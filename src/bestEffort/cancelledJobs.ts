/**
 * The jobs that callers have cancelled a while ago. Requests of a job may overtake each other: one that was
 * held up, or is sent again, must not start a job after its cancellation.
 */
import type { Clock } from '../ports/clock.js';
import type { CancelledJob } from '../types/fleet.js';

/** Longer than a caller goes on with a job, in milliseconds. */
const retentionMs = 60_000;
const maxJobs = 4_096;

/** Jobs in one heartbeat. */
const maxListedJobs = 64;
/** Time after which the next ones of many jobs are listed, in milliseconds. */
const listTurnMs = 300;

/** Whether the job was found when it was cancelled. */
export type CancelledJobState = 'found' | 'not-found';

interface Cancellation {
  readonly atMs: number;
  readonly job: CancelledJobState;
}

export class CancelledJobs {
  /** By job id, those first that were heard of first. */
  private readonly cancellations = new Map<string, Cancellation>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): CancelledJobs {
    return new CancelledJobs(clock);
  }

  get size(): number {
    return this.cancellations.size;
  }

  /** Records a cancellation, which was some time ago where another daemon tells of it. */
  record(jobId: string, job: CancelledJobState, agoMs = 0): void {
    this.cancellations.delete(jobId);
    this.cancellations.set(jobId, { atMs: this.clock.nowMs() - agoMs, job });
    this.forgetOld();
  }

  /** Lists the cancellations, the latest first; where they are many, each part of them in turn. */
  list(): CancelledJob[] {
    const nowMs = this.clock.nowMs();
    const recent = [...this.cancellations].filter(([, one]) => !this.isOld(one)).reverse();
    const turns = Math.max(Math.ceil(recent.length / maxListedJobs), 1);
    const first = (Math.floor(nowMs / listTurnMs) % turns) * maxListedJobs;
    return recent.slice(first, first + maxListedJobs).map(([jobId, { atMs, job }]) => ({
      ...{ jobId, wasFound: job === 'found' },
      agoMs: Math.round(nowMs - atMs),
    }));
  }

  find(jobId: string): CancelledJobState | undefined {
    const cancellation = this.cancellations.get(jobId);
    return cancellation === undefined || this.isOld(cancellation) ? undefined : cancellation.job;
  }

  private forgetOld(): void {
    for (const [jobId, cancellation] of this.cancellations) {
      if (this.cancellations.size <= maxJobs && !this.isOld(cancellation)) {
        return;
      }
      this.cancellations.delete(jobId);
    }
  }

  private isOld({ atMs }: Cancellation): boolean {
    return this.clock.nowMs() - atMs > retentionMs;
  }
}
