/**
 * Reads the processor time and the heap of the calling thread.
 */
import { readFileSync } from 'node:fs';

const nsPerMs = 1_000_000;
const bytesPerMb = 1_048_576;

/**
 * Reads the statistics of the Linux scheduler, so it works on Linux only.
 *
 * @returns processor time of the calling thread since its start, in milliseconds
 */
export const readThreadCpuMs = (): number =>
  Number(readFileSync('/proc/thread-self/schedstat', 'utf8').split(' ')[0]) / nsPerMs;

/** @returns the heap of the calling thread in MB */
export const readHeapMb = (): number => process.memoryUsage().heapUsed / bytesPerMb;
