/**
 * Tells the course of a job from the logs of several daemons, in plain sentences.
 */
import type { LogLine } from './logLines.js';

/** Sentences of the log that tell of a job's beginning and end. */
const accepted = 'A job is accepted.';
const ended = 'A job has ended.';

interface ToldLine {
  readonly line: LogLine;
  /** Time of the line after the clocks of the VMs were put in order by cause. */
  readonly atMs: number;
}

/**
 * Explains a job.
 *
 * @param lines - lines of all logs, in any order
 * @param jobId - the job
 * @returns sentences in the order of cause; none if no line tells of the job
 */
export const explainLogs = (lines: readonly LogLine[], jobId: string): string[] => {
  const ofJob = lines.filter(
    ({ context }) => context.jobId === jobId || context.taskName?.startsWith(`${jobId}.`) === true,
  );
  const told = orderByCause(ofJob);
  const firstAtMs = told[0]?.atMs ?? 0;
  return told.map(
    ({ line, atMs }) => `+${(atMs - firstAtMs).toFixed(0)} ms ${line.context.vmId}: ${tell(line)}`,
  );
};

/**
 * Shifts the times of each VM so that nothing of the job comes before its acceptance or after its end,
 * which one VM tells of.
 */
const orderByCause = (lines: readonly LogLine[]): ToldLine[] => {
  const first = lines.find(({ message }) => message.endsWith(accepted));
  const last = lines.find(({ message }) => message.endsWith(ended));
  const shifts = new Map<string, number>();
  for (const vmId of new Set(lines.map(({ context }) => context.vmId))) {
    const timesMs = lines.filter(({ context }) => context.vmId === vmId).map(({ time }) => time);
    const early = Math.max((first?.time ?? -Infinity) - Math.min(...timesMs), 0);
    const late = Math.min((last?.time ?? Infinity) - Math.max(...timesMs), 0);
    const isHome = vmId === first?.context.vmId;
    shifts.set(vmId, isHome ? 0 : early > 0 ? early : late);
  }
  return lines
    .map((line) => ({ line, atMs: line.time + (shifts.get(line.context.vmId) ?? 0) }))
    .sort((a, b) => a.atMs - b.atMs);
};

const tell = ({ message, context }: LogLine): string => {
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
