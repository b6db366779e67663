/**
 * Renders the recorded events of a job as readable sentences.
 */
import { unreachable } from '../errors/unreachable.js';
import type { JobTrace, TraceEvent } from '../types/explain.js';

/** The trace of a job as one daemon recorded it. */
export interface DaemonTrace {
  readonly vmId: string;
  readonly trace: JobTrace;
}

/**
 * Explains a job from the traces of all daemons.
 *
 * @param traces - the traces of one job
 * @returns one sentence for each event in wall-clock order, then how long tasks waited for endpoints
 */
export const explainJob = (traces: readonly DaemonTrace[]): string[] => {
  const events = traces.flatMap(({ vmId, trace }) =>
    trace.events.map((event) => ({ vmId, event })),
  );
  events.sort((a, b) => a.event.atMs - b.event.atMs);
  const firstAtMs = events[0]?.event.atMs ?? 0;
  const lines = events.map(
    ({ vmId, event }) =>
      `${new Date(event.atMs).toISOString()} (+${event.atMs - firstAtMs} ms) ` +
      `${vmId}: ${describeEvent(event)}`,
  );
  return [...lines, ...explainQueueing(traces, firstAtMs)];
};

const describeEvent = (event: TraceEvent): string => {
  switch (event.kind) {
    case 'received':
      return `The submission of ${event.taskCount} tasks came in, with a deadline of ${event.deadlineMs} ms.`;
    case 'resubmitted':
      return 'A resubmission with the same key came in.';
    case 'refused':
      return `It was refused as ${event.problem.kind} (${event.problem.runState}): ${event.problem.detail}`;
    case 'started':
      return `It was accepted as job ${event.jobId}.`;
    case 'task-sent':
      return `Task ${event.task} was sent to ${event.endpointId} (attempt ${event.attempt}).`;
    case 'task-done':
      return `Task ${event.task} was done by ${event.endpointId} in ${event.elapsedMs.toFixed(0)} ms.`;
    case 'task-failed':
      return `Task ${event.task} failed on ${event.endpointId}: ${event.detail}`;
    case 'task-not-started':
      return `Task ${event.task} was not started by ${event.endpointId}: ${event.reason}.`;
    case 'task-unknown':
      return `The outcome of task ${event.task} on ${event.endpointId} is unknown: ${event.reason}.`;
    case 'answered':
      return 'The whole answer was given.';
    case 'failed':
      return `The job failed as ${event.problem.kind} (${event.problem.runState}): ${event.problem.detail}`;
    default:
      return unreachable(event);
  }
};

/** Reports the task that waited longest for an endpoint, and the number of tasks never sent. */
const explainQueueing = (traces: readonly DaemonTrace[], firstAtMs: number): string[] => {
  const events = traces.flatMap(({ trace }) => trace.events);
  const received = events.find((event) => event.kind === 'received');
  const firstSentAtMs = new Map<number, number>();
  for (const event of events) {
    if (event.kind === 'task-sent') {
      const previousAtMs = firstSentAtMs.get(event.task) ?? Infinity;
      firstSentAtMs.set(event.task, Math.min(previousAtMs, event.atMs));
    }
  }
  const longestWait = [...firstSentAtMs].sort((a, b) => b[1] - a[1])[0];
  const unsentCount = (received?.taskCount ?? firstSentAtMs.size) - firstSentAtMs.size;
  return [
    ...(longestWait === undefined
      ? []
      : [
          `Task ${longestWait[0]} waited longest for an endpoint: ${longestWait[1] - firstAtMs} ms.`,
        ]),
    ...(unsentCount > 0 ? [`${unsentCount} tasks were never sent to an endpoint.`] : []),
  ];
};
