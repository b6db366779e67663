/**
 * Faults of a worker stand-in, and how its runs go under each.
 */
import { unreachable } from '../../src/errors/unreachable.js';
import type { RunBehaviour } from './workerLife.js';

/** Fault of a worker. */
export type WorkerFault =
  | { readonly kind: 'none' }
  /** Carries out orders and never answers. */
  | { readonly kind: 'mute' }
  /** Neither carries out nor answers orders, as if the network were cut; runs continue. */
  | { readonly kind: 'cut' }
  /** Runs fail at once. */
  | { readonly kind: 'failing' }
  /** Runs do not end by themselves. */
  | { readonly kind: 'hanging' }
  /** Starts are carried out after a delay and never answered. */
  | { readonly kind: 'late-starts'; readonly delayMs: number };

/** @returns how runs go that begin under a fault */
export const runBehaviour = (fault: WorkerFault): RunBehaviour => {
  switch (fault.kind) {
    case 'none':
    case 'mute':
    case 'cut':
    case 'late-starts':
      return 'as-specified';
    case 'failing':
    case 'hanging':
      return fault.kind;
    default:
      return unreachable(fault);
  }
};
