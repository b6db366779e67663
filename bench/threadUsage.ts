/**
 * Processor time and memory of the calling thread alone.
 */
import { readFileSync } from 'node:fs';

const nsPerMs = 1_000_000;
const bytesPerMb = 1_048_576;

/**
 * Reads the processor time of the calling thread from Linux's scheduler.
 *
 * @returns the time in milliseconds
 */
export const readThreadCpuMs = (): number =>
  Number(readFileSync('/proc/thread-self/schedstat', 'utf8').split(' ')[0]) / nsPerMs;

/** @returns the heap of the calling thread in MB */
export const readHeapMb = (): number => process.memoryUsage().heapUsed / bytesPerMb;
