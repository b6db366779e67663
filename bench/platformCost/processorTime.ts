/**
 * Processor time of another process, read from the Linux proc file system.
 */
import { readdirSync, readFileSync } from 'node:fs';

const nanosecondsPerMs = 1e6;

/**
 * Reads how long all threads of a process have run on a processor.
 *
 * @param pid - id of a running process
 * @returns the time in milliseconds
 */
export const readProcessorMs = (pid: number): number =>
  readdirSync(`/proc/${pid}/task`)
    .map((thread) => readFileSync(`/proc/${pid}/task/${thread}/schedstat`, 'utf8'))
    .reduce((sum, stat) => sum + Number(stat.split(' ')[0]) / nanosecondsPerMs, 0);

/**
 * Reads the resident memory of a process.
 *
 * @param pid - id of a running process
 * @returns the memory in megabytes
 */
export const readResidentMb = (pid: number): number => {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1_024;
};
