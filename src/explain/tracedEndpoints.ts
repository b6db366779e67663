/**
 * A decorator of the endpoint port that records each attempt in the trace of its job.
 */
import { unreachable } from '../errors/unreachable.js';
import type { Endpoint } from '../types/inventory.js';
import type { Clock } from '../ports/clock.js';
import type { EndpointPort, EndpointReply, TaskStart } from '../ports/endpoints.js';
import type { JobTraces } from './jobTraces.js';
import type { TraceEvent } from '../types/explain.js';

export interface TracedEndpointsOptions {
  readonly endpoints: EndpointPort;
  readonly traces: JobTraces;
  readonly clock: Clock;
}

/** The fields that identify an attempt in the events of a trace. */
interface TracedAttempt {
  readonly task: number;
  readonly attempt: number;
  readonly endpointId: string;
}

export class TracedEndpoints implements EndpointPort {
  private constructor(private readonly options: TracedEndpointsOptions) {}

  /**
   * Wraps an endpoint port.
   *
   * @param options - the port to wrap, the traces to record to, and the clock
   */
  static create(options: TracedEndpointsOptions): TracedEndpoints {
    return new TracedEndpoints(options);
  }

  async run(endpoint: Endpoint, start: TaskStart, signal: AbortSignal): Promise<EndpointReply> {
    const { endpoints, traces, clock } = this.options;
    const { jobId, task } = parseTaskId(start.taskId);
    const attempt = { task, attempt: start.attempt, endpointId: endpoint.endpointId };
    traces.recordTaskEvent(jobId, { kind: 'task-sent', atMs: clock.wallMs(), ...attempt });
    const sentAtMs = clock.nowMs();
    const reply = await endpoints.run(endpoint, start, signal);
    const elapsedMs = clock.nowMs() - sentAtMs;
    traces.recordTaskEvent(
      jobId,
      toTraceEvent(reply, attempt, { atMs: clock.wallMs(), elapsedMs }),
    );
    return reply;
  }

  cancel(endpoint: Endpoint, taskIds: readonly string[], signal: AbortSignal): Promise<void> {
    return this.options.endpoints.cancel(endpoint, taskIds, signal);
  }

  renew(endpoint: Endpoint, start: TaskStart, signal: AbortSignal): Promise<boolean> {
    return this.options.endpoints.renew(endpoint, start, signal);
  }

  close(): Promise<void> {
    return this.options.endpoints.close();
  }
}

/** A task, identified by its job and its position in the job, from 0. */
interface TaskPosition {
  readonly jobId: string;
  readonly task: number;
}

/** Splits a task id, which has the form `<jobId>-<position>`. */
const parseTaskId = (taskId: string): TaskPosition => {
  const hyphen = taskId.lastIndexOf('-');
  return { jobId: taskId.slice(0, hyphen), task: Number(taskId.slice(hyphen + 1)) };
};

interface ReplyTimes {
  /** Wall-clock time of the reply, in milliseconds since the epoch. */
  readonly atMs: number;
  /** Time from sending the task to its reply, by the monotonic clock. */
  readonly elapsedMs: number;
}

const toTraceEvent = (
  reply: EndpointReply,
  attempt: TracedAttempt,
  { atMs, elapsedMs }: ReplyTimes,
): TraceEvent => {
  switch (reply.kind) {
    case 'done':
      return { kind: 'task-done', atMs, ...attempt, elapsedMs };
    case 'failed':
      return { kind: 'task-failed', atMs, ...attempt, detail: reply.detail };
    case 'not-started':
      return { kind: 'task-not-started', atMs, ...attempt, reason: reply.reason };
    case 'unknown':
      return { kind: 'task-unknown', atMs, ...attempt, reason: reply.reason };
    default:
      return unreachable(reply);
  }
};
