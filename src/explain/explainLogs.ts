/**
 * Explains a job from the logs of several daemons, as readable sentences.
 */
import type { LogLine } from './logLines.js';

/** Log messages that mark the start and the end of a job; both come from the daemon that accepted it. */
const acceptedSentence = 'A job is accepted.';
const endedSentence = 'A job has ended.';

interface AlignedLine {
  readonly line: LogLine;
  /** Time of the line in milliseconds since the epoch, corrected for the clock offset of its VM. */
  readonly atMs: number;
}

/**
 * Explains a job.
 *
 * @param lines - lines of all logs, in any order
 * @param jobId - id of the job
 * @returns one sentence for each line, in causal order; empty if no line mentions the job
 */
export const explainLogs = (lines: readonly LogLine[], jobId: string): string[] => {
  const jobLines = lines.filter(
    ({ context }) => context.jobId === jobId || context.taskName?.startsWith(`${jobId}.`) === true,
  );
  const aligned = alignClocks(jobLines);
  const firstAtMs = aligned[0]?.atMs ?? 0;
  return aligned.map(
    ({ line, atMs }) =>
      `+${(atMs - firstAtMs).toFixed(0)} ms ${line.context.vmId}: ${formatLine(line)}`,
  );
};

/**
 * Corrects clock offsets between VMs, and sorts by the corrected time. The lines of a VM are shifted
 * together, so that none precedes the acceptance of the job; if none does, so that none follows its end.
 */
const alignClocks = (lines: readonly LogLine[]): AlignedLine[] => {
  const acceptance = lines.find(({ message }) => message.endsWith(acceptedSentence));
  const end = lines.find(({ message }) => message.endsWith(endedSentence));
  const shiftsMs = new Map<string, number>();
  for (const vmId of new Set(lines.map(({ context }) => context.vmId))) {
    const timesMs = lines.filter(({ context }) => context.vmId === vmId).map(({ time }) => time);
    const forwardMs = Math.max((acceptance?.time ?? -Infinity) - Math.min(...timesMs), 0);
    const backwardMs = Math.min((end?.time ?? Infinity) - Math.max(...timesMs), 0);
    const isAcceptingVm = vmId === acceptance?.context.vmId;
    shiftsMs.set(vmId, isAcceptingVm ? 0 : forwardMs > 0 ? forwardMs : backwardMs);
  }
  return lines
    .map((line) => ({ line, atMs: line.time + (shiftsMs.get(line.context.vmId) ?? 0) }))
    .sort((a, b) => a.atMs - b.atMs);
};

const formatLine = ({ message, context }: LogLine): string => {
  const sentence = message.slice(message.indexOf(': ') + 2);
  const facts = [
    context.taskName === undefined ? '' : `task ${context.taskName.split('.').slice(2).join('.')}`,
    context.run === undefined ? '' : `run ${context.run}`,
    context.workerId === undefined ? '' : `on ${context.workerId}`,
    context.nodeId === undefined ? '' : `at daemon ${context.nodeId}`,
    context.count === undefined ? '' : `${context.count} tasks`,
    context.outcome ?? '',
    context.durationMs === undefined ? '' : `after ${context.durationMs} ms`,
    context.expectedMs === undefined ? '' : `expected ${context.expectedMs} ms`,
    context.leftMs === undefined ? '' : `${context.leftMs} ms left`,
    context.ageMs === undefined ? '' : `by knowledge ${context.ageMs} ms old`,
    context.reason === undefined ? '' : `because ${context.reason}`,
  ].filter((fact) => fact !== '');
  return facts.length === 0 ? sentence : `${sentence} (${facts.join(', ')})`;
};
