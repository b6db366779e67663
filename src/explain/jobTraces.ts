/**
 * The courses of the last jobs of one daemon, in memory and bounded; the oldest go first.
 */
import type { Problem } from '../errors/problem.js';
import type { JobAnswer, Submission } from '../types/jobs.js';
import type { Clock } from '../ports/clock.js';
import { unreachable } from '../errors/unreachable.js';
import type { JobTrace, TraceEvent } from '../types/explain.js';

/** A submission by its caller and key. */
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
  /** In order of their first event. */
  private readonly traces = new Set<StoredTrace>();
  private readonly bySubmission = new Map<string, StoredTrace>();
  private readonly byJobId = new Map<string, StoredTrace>();
  private eventCount = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly maxEvents: number,
  ) {}

  /**
   * Creates an empty memory.
   *
   * @param clock - tells the times of the events
   * @param maxEvents - events that are kept, over all jobs
   */
  static create(clock: Clock, maxEvents: number): JobTraces {
    return new JobTraces(clock, maxEvents);
  }

  /** Notes a submission that this daemon decides on. */
  received(submission: TracedSubmission, { tasks, deadlineMs }: Submission): void {
    const taskCount = tasks.length;
    this.add(this.ofSubmission(submission), {
      kind: 'received',
      ...this.now(),
      taskCount,
      deadlineMs,
    });
  }

  resubmitted(submission: TracedSubmission): void {
    this.add(this.ofSubmission(submission), { kind: 'resubmitted', ...this.now() });
  }

  refused(submission: TracedSubmission, problem: Problem): void {
    this.add(this.ofSubmission(submission), { kind: 'refused', ...this.now(), problem });
  }

  /** Notes that a submission became a job; the job's tasks are told by its id. */
  started(submission: TracedSubmission, jobId: string): void {
    const trace = this.ofSubmission(submission);
    trace.jobId = jobId;
    this.add(trace, { kind: 'started', ...this.now(), jobId });
    this.takeEarlyEvents(trace, jobId);
    this.byJobId.set(jobId, trace);
  }

  answered(submission: TracedSubmission, answer: JobAnswer): void {
    const trace = this.ofSubmission(submission);
    switch (answer.status) {
      case 'complete':
        return this.add(trace, { kind: 'answered', ...this.now() });
      case 'failed':
        return this.add(trace, { kind: 'failed', ...this.now(), problem: answer.problem });
      default:
        return unreachable(answer);
    }
  }

  /** Notes an event of a task, which may belong to a peer's job. */
  noteTask(jobId: string, event: TraceEvent): void {
    this.add(this.ofJob(jobId), event);
  }

  /**
   * Finds what is remembered.
   *
   * @param name - a submission key or a job id
   * @returns the traces, several where callers used the same key
   */
  find(name: string): JobTrace[] {
    return [...this.traces].filter(({ key, jobId }) => key === name || jobId === name);
  }

  private now(): { readonly atMs: number } {
    return { atMs: this.clock.wallMs() };
  }

  private ofSubmission(submission: TracedSubmission): StoredTrace {
    const identity = identify(submission);
    const known = this.bySubmission.get(identity);
    if (known !== undefined) {
      return known;
    }
    const trace: StoredTrace = { ...submission, jobId: null, events: [] };
    this.traces.add(trace);
    this.bySubmission.set(identity, trace);
    return trace;
  }

  private ofJob(jobId: string): StoredTrace {
    const known = this.byJobId.get(jobId);
    if (known !== undefined) {
      return known;
    }
    const trace: StoredTrace = { callerId: null, key: null, jobId, events: [] };
    this.traces.add(trace);
    this.byJobId.set(jobId, trace);
    return trace;
  }

  /** Tasks may be sent before the submission is told which job it became. */
  private takeEarlyEvents(trace: StoredTrace, jobId: string): void {
    const early = this.byJobId.get(jobId);
    if (early === undefined || early === trace) {
      return;
    }
    trace.events.push(...early.events);
    this.traces.delete(early);
  }

  private add(trace: StoredTrace, event: TraceEvent): void {
    trace.events.push(event);
    this.eventCount += 1;
    for (const oldest of this.traces) {
      if (this.eventCount <= this.maxEvents) {
        return;
      }
      this.drop(oldest);
    }
  }

  private drop(trace: StoredTrace): void {
    this.eventCount -= trace.events.length;
    this.traces.delete(trace);
    if (trace.callerId !== null && trace.key !== null) {
      this.bySubmission.delete(identify({ callerId: trace.callerId, key: trace.key }));
    }
    if (trace.jobId !== null) {
      this.byJobId.delete(trace.jobId);
    }
  }
}

/** Names cannot hold a space, so the identity is unambiguous. */
const identify = ({ callerId, key }: TracedSubmission): string => `${callerId} ${key}`;
