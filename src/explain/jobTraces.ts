/**
 * Traces of the latest jobs of one daemon, in memory. Their number of events is bounded; the oldest
 * traces are evicted first.
 */
import type { Problem } from '../errors/problem.js';
import type { JobAnswer, Submission } from '../types/jobs.js';
import type { Clock } from '../ports/clock.js';
import { unreachable } from '../errors/unreachable.js';
import type { JobTrace, TraceEvent } from '../types/explain.js';

/** Identifies a submission; keys are unique for each caller only. */
export interface TracedSubmission {
  readonly callerId: string;
  readonly key: string;
}

interface StoredTrace extends JobTrace {
  callerId: string | null;
  key: string | null;
  jobId: string | null;
  readonly events: TraceEvent[];
}

export class JobTraces {
  /** In the order of creation, which is the order of eviction. */
  private readonly traces = new Set<StoredTrace>();
  private readonly bySubmission = new Map<string, StoredTrace>();
  private readonly byJobId = new Map<string, StoredTrace>();
  private eventCount = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly maxEvents: number,
  ) {}

  /**
   * Creates a store without traces.
   *
   * @param clock - provides the wall-clock times of the events
   * @param maxEvents - number of events to keep, over all jobs
   */
  static create(clock: Clock, maxEvents: number): JobTraces {
    return new JobTraces(clock, maxEvents);
  }

  /** Records the first copy of a submission, which this daemon accepts or refuses. */
  received(submission: TracedSubmission, { tasks, deadlineMs }: Submission): void {
    const taskCount = tasks.length;
    this.append(this.findOrCreateBySubmission(submission), {
      kind: 'received',
      ...this.timestamp(),
      taskCount,
      deadlineMs,
    });
  }

  /** Records a further copy of a submission, which starts no job. */
  resubmitted(submission: TracedSubmission): void {
    this.append(this.findOrCreateBySubmission(submission), {
      kind: 'resubmitted',
      ...this.timestamp(),
    });
  }

  /** Records why a submission was refused. */
  refused(submission: TracedSubmission, problem: Problem): void {
    this.append(this.findOrCreateBySubmission(submission), {
      kind: 'refused',
      ...this.timestamp(),
      problem,
    });
  }

  /** Records that a submission became a job, whose task events are recorded by job id. */
  started(submission: TracedSubmission, jobId: string): void {
    const trace = this.findOrCreateBySubmission(submission);
    trace.jobId = jobId;
    this.append(trace, { kind: 'started', ...this.timestamp(), jobId });
    this.mergeEarlyTrace(trace, jobId);
    this.byJobId.set(jobId, trace);
  }

  /** Records the end of a job. */
  answered(submission: TracedSubmission, answer: JobAnswer): void {
    const trace = this.findOrCreateBySubmission(submission);
    switch (answer.status) {
      case 'complete':
        return this.append(trace, { kind: 'answered', ...this.timestamp() });
      case 'failed':
        return this.append(trace, { kind: 'failed', ...this.timestamp(), problem: answer.problem });
      default:
        return unreachable(answer);
    }
  }

  /** Records an event of a task; its job may belong to a peer. */
  recordTaskEvent(jobId: string, event: TraceEvent): void {
    this.append(this.findOrCreateByJobId(jobId), event);
  }

  /**
   * Finds the traces of a submission or a job.
   *
   * @param keyOrJobId - a submission key or a job id
   * @returns the traces; several if callers used the same key
   */
  find(keyOrJobId: string): JobTrace[] {
    return [...this.traces].filter(({ key, jobId }) => key === keyOrJobId || jobId === keyOrJobId);
  }

  private timestamp(): { readonly atMs: number } {
    return { atMs: this.clock.wallMs() };
  }

  private findOrCreateBySubmission(submission: TracedSubmission): StoredTrace {
    const identity = submissionIdentity(submission);
    const existing = this.bySubmission.get(identity);
    if (existing !== undefined) {
      return existing;
    }
    const trace: StoredTrace = { ...submission, jobId: null, events: [] };
    this.traces.add(trace);
    this.bySubmission.set(identity, trace);
    return trace;
  }

  private findOrCreateByJobId(jobId: string): StoredTrace {
    const existing = this.byJobId.get(jobId);
    if (existing !== undefined) {
      return existing;
    }
    const trace: StoredTrace = { callerId: null, key: null, jobId, events: [] };
    this.traces.add(trace);
    this.byJobId.set(jobId, trace);
    return trace;
  }

  /** Moves events of tasks that were sent before `started` was called for their job. */
  private mergeEarlyTrace(trace: StoredTrace, jobId: string): void {
    const early = this.byJobId.get(jobId);
    if (early === undefined || early === trace) {
      return;
    }
    trace.events.push(...early.events);
    this.traces.delete(early);
  }

  private append(trace: StoredTrace, event: TraceEvent): void {
    trace.events.push(event);
    this.eventCount += 1;
    for (const oldest of this.traces) {
      if (this.eventCount <= this.maxEvents) {
        return;
      }
      this.evict(oldest);
    }
  }

  private evict(trace: StoredTrace): void {
    this.eventCount -= trace.events.length;
    this.traces.delete(trace);
    if (trace.callerId !== null && trace.key !== null) {
      this.bySubmission.delete(submissionIdentity({ callerId: trace.callerId, key: trace.key }));
    }
    if (trace.jobId !== null) {
      this.byJobId.delete(trace.jobId);
    }
  }
}

/** Caller ids and keys contain no spaces, so the identity is unambiguous. */
const submissionIdentity = ({ callerId, key }: TracedSubmission): string => `${callerId} ${key}`;
