/**
 * Endpoints whose attempts are noted in the traces of their jobs.
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

/** One attempt of a task, as its events tell it. */
interface TracedAttempt {
  readonly task: number;
  readonly attempt: number;
  readonly endpointId: string;
}

export class TracedEndpoints implements EndpointPort {
  private constructor(private readonly options: TracedEndpointsOptions) {}

  /**
   * Wraps endpoints.
   *
   * @param options - the endpoints and the traces
   */
  static create(options: TracedEndpointsOptions): TracedEndpoints {
    return new TracedEndpoints(options);
  }

  async run(endpoint: Endpoint, start: TaskStart, signal: AbortSignal): Promise<EndpointReply> {
    const { endpoints, traces, clock } = this.options;
    const { jobId, task } = splitTaskId(start.taskId);
    const attempt = { task, attempt: start.attempt, endpointId: endpoint.endpointId };
    traces.noteTask(jobId, { kind: 'task-sent', atMs: clock.wallMs(), ...attempt });
    const sentAtMs = clock.nowMs();
    const reply = await endpoints.run(endpoint, start, signal);
    const elapsedMs = clock.nowMs() - sentAtMs;
    traces.noteTask(jobId, describeReply(reply, attempt, { atMs: clock.wallMs(), elapsedMs }));
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

/** A task by its job and its position there. */
interface TaskPosition {
  readonly jobId: string;
  readonly task: number;
}

/** A task id is the id of its job and its position, with a hyphen between. */
const splitTaskId = (taskId: string): TaskPosition => {
  const hyphen = taskId.lastIndexOf('-');
  return { jobId: taskId.slice(0, hyphen), task: Number(taskId.slice(hyphen + 1)) };
};

interface ReplyTimes {
  readonly atMs: number;
  readonly elapsedMs: number;
}

const describeReply = (
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
