/**
 * Tells the course of a job in plain sentences.
 */
import { unreachable } from '../errors/unreachable.js';
import type { JobTrace, TraceEvent } from '../types/explain.js';

/** What one daemon remembers of a job. */
export interface DaemonTrace {
  readonly vmId: string;
  readonly trace: JobTrace;
}

/**
 * Explains a job from what all daemons remember of it.
 *
 * @param traces - the traces of one job
 * @returns sentences in order of time
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
  return [...lines, ...explainWaits(traces, firstAtMs)];
};

const describeEvent = (event: TraceEvent): string => {
  switch (event.kind) {
    case 'received':
      return `The submission of ${event.taskCount} tasks came, to be answered within ${event.deadlineMs} ms.`;
    case 'resubmitted':
      return 'A further copy came and was given what the first one gets.';
    case 'refused':
      return `It was refused as ${event.problem.kind} (${event.problem.runState}): ${event.problem.detail}`;
    case 'started':
      return `It became job ${event.jobId}.`;
    case 'task-sent':
      return `Task ${event.task} was sent to ${event.endpointId} (attempt ${event.attempt}).`;
    case 'task-done':
      return `Task ${event.task} was done by ${event.endpointId} in ${event.elapsedMs.toFixed(0)} ms.`;
    case 'task-failed':
      return `Task ${event.task} failed on ${event.endpointId}: ${event.detail}`;
    case 'task-not-started':
      return `Task ${event.task} was not started by ${event.endpointId}: ${event.reason}.`;
    case 'task-unknown':
      return `What became of task ${event.task} on ${event.endpointId} is not known: ${event.reason}.`;
    case 'answered':
      return 'The whole answer was given.';
    case 'failed':
      return `The job failed as ${event.problem.kind} (${event.problem.runState}): ${event.problem.detail}`;
    default:
      return unreachable(event);
  }
};

/** Tells which task waited longest for an endpoint, and how many were never sent. */
const explainWaits = (traces: readonly DaemonTrace[], firstAtMs: number): string[] => {
  const events = traces.flatMap(({ trace }) => trace.events);
  const received = events.find((event) => event.kind === 'received');
  const firstSentAtMs = new Map<number, number>();
  for (const event of events) {
    if (event.kind === 'task-sent') {
      const earlier = firstSentAtMs.get(event.task) ?? Infinity;
      firstSentAtMs.set(event.task, Math.min(earlier, event.atMs));
    }
  }
  const last = [...firstSentAtMs].sort((a, b) => b[1] - a[1])[0];
  const unsent = (received?.taskCount ?? firstSentAtMs.size) - firstSentAtMs.size;
  return [
    ...(last === undefined
      ? []
      : [`Task ${last[0]} waited longest for an endpoint: ${last[1] - firstAtMs} ms.`]),
    ...(unsent > 0 ? [`${unsent} tasks were never sent to an endpoint.`] : []),
  ];
};
