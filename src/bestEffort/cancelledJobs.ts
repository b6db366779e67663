/**
 * The jobs that callers have cancelled a while ago. Requests of a job may overtake each other: one that was
 * held up, or is sent again, must not start a job after its cancellation.
 */
import type { Clock } from '../ports/clock.js';

/** Longer than a caller goes on with a job, in milliseconds. */
const retentionMs = 60_000;
const maxJobs = 4_096;

/** Whether the job ran here when it was cancelled. */
export type CancelledJob = 'found' | 'not-found';

interface Cancellation {
  readonly atMs: number;
  readonly job: CancelledJob;
}

export class CancelledJobs {
  /** By job id, the earliest first. */
  private readonly cancellations = new Map<string, Cancellation>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): CancelledJobs {
    return new CancelledJobs(clock);
  }

  get size(): number {
    return this.cancellations.size;
  }

  record(jobId: string, job: CancelledJob): void {
    this.cancellations.delete(jobId);
    this.cancellations.set(jobId, { atMs: this.clock.nowMs(), job });
    this.forgetOld();
  }

  find(jobId: string): CancelledJob | undefined {
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
