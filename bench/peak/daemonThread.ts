/**
 * Thread with one daemon and nothing else, so that its processor time is measured alone.
 */
import { parentPort, workerData } from 'node:worker_threads';
import { DaemonProcess } from '../../src/programs/toucandyked/daemonProcess.js';
import { readHeapMb, readThreadCpuMs } from '../threadUsage.js';
import { daemonOrderSchema } from './messages.js';
import type { DaemonReady, Usage } from './messages.js';

const { settings } = daemonOrderSchema.parse(workerData);
const daemon = await DaemonProcess.create(settings);

/** Any message asks for the usage so far. */
parentPort?.on('message', () => {
  parentPort?.postMessage({ cpuMs: readThreadCpuMs(), heapMb: readHeapMb() } satisfies Usage);
});
parentPort?.postMessage({
  callersAddress: daemon.callers.address,
  peersAddress: daemon.peers.address,
} satisfies DaemonReady);
