/**
 * Reads from the kernel which signals a process handles. Node.js ends by a signal that comes before it has its handler.
 */
import { readFileSync } from 'node:fs';

/** Bit of SIGHUP in the kernel's mask of caught signals. */
const reloadSignalBit = 1n;

/** @returns whether the kernel lists a handler of SIGHUP for a process; false once it has exited */
export const handlesReload = (pid: number | undefined): boolean => {
  try {
    const status = readFileSync(`/proc/${pid ?? ''}/status`, 'utf8');
    const mask = /^SigCgt:\s*([0-9a-f]+)$/m.exec(status)?.[1];
    return (BigInt(`0x${mask ?? '0'}`) & reloadSignalBit) !== 0n;
  } catch {
    return false;
  }
};
