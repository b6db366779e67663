/**
 * Thread that runs one daemon alone, so that the thread's processor time is the daemon's.
 */
import { parentPort, workerData } from 'node:worker_threads';
import { DaemonProcess } from '../../src/programs/toucandyked/daemonProcess.js';
import { readHeapMb, readThreadCpuMs } from '../threadUsage.js';
import { daemonThreadDataSchema } from './messages.js';
import type { DaemonReady, Usage } from './messages.js';

const { settings } = daemonThreadDataSchema.parse(workerData);
const daemon = await DaemonProcess.create(settings);

/** Answers every message with the usage so far. */
parentPort?.on('message', () => {
  parentPort?.postMessage({ cpuMs: readThreadCpuMs(), heapMb: readHeapMb() } satisfies Usage);
});
parentPort?.postMessage({
  callersAddress: daemon.callers.address,
  peersAddress: daemon.peers.address,
} satisfies DaemonReady);
