/**
 * The faults that a soak injects, and the requests that are to meet them.
 */
import type { WorkerFault } from '../standins/platform/workerFault.js';
import type { LinkFault } from './faultyProxy.js';

/** A link with a proxy: callers to a daemon, a daemon to the store, or daemons to a worker. */
export type LinkPlace = 'callers' | 'store' | 'worker';

/** A job of a caller that leaves at its deadline, or early, and sends the job again, once. */
export interface PlannedRequest {
  readonly daemon: number;
  /** Position of the daemon that gets the second attempt. */
  readonly nextDaemon: number;
  readonly tasks: number;
  readonly runMs: number;
  readonly estimatedMs: number;
  readonly deadlineMs: number;
  /** Time after which the caller leaves; at its deadline if undefined. */
  readonly leavesAfterMs?: number;
  /** Kind of the workers that the tasks need; any if undefined. */
  readonly workerKind?: string;
}

/** An entry among those of the workers that names no worker to use. */
export type InvalidEntry =
  'port' | 'octet' | 'number' | 'nesting' | 'without-born' | 'other-service' | 'bytes';

/**
 * A fault, or a request that is to meet one. `daemon` and `index` are positions in the lists of the fleet; `durationMs` is the time until the
 * fault is healed.
 */
export type Fault =
  | { readonly kind: 'kill'; readonly daemon: number; readonly durationMs: number }
  | { readonly kind: 'planned-stop'; readonly daemon: number }
  /** The settings file is written anew, and SIGHUP is sent `signals` times. */
  | { readonly kind: 'reload'; readonly daemon: number; readonly signals: number }
  | { readonly kind: 'pause'; readonly daemon: number; readonly durationMs: number }
  /** The process is paused for a part of each period, and runs for the rest. */
  | {
      readonly kind: 'slow';
      readonly daemon: number;
      readonly pausedMs: number;
      readonly periodMs: number;
      readonly durationMs: number;
    }
  | {
      readonly kind: 'link';
      readonly place: LinkPlace;
      readonly index: number;
      readonly fault: LinkFault;
      readonly durationMs: number;
    }
  | { readonly kind: 'reset'; readonly place: LinkPlace; readonly index: number }
  | { readonly kind: 'store'; readonly state: 'busy' | 'silent'; readonly durationMs: number }
  | { readonly kind: 'store-compacts' }
  | {
      readonly kind: 'worker';
      readonly index: number;
      readonly fault: WorkerFault;
      readonly durationMs: number;
    }
  | { readonly kind: 'routes'; readonly count: number }
  /** The process is killed this many times, each time before it answers. */
  | { readonly kind: 'kill-again'; readonly daemon: number; readonly kills: number }
  /** The worker starts again under its id. */
  | { readonly kind: 'worker-crash'; readonly index: number; readonly durationMs: number }
  /** The entry replaces that of a live worker, or has a key of its own. */
  | {
      readonly kind: 'invalid-entry';
      readonly entry: InvalidEntry;
      readonly index: number;
      readonly isOwnKey: boolean;
      readonly durationMs: number;
    }
  | { readonly kind: 'request'; readonly request: PlannedRequest };

/** A fault with its start time, in milliseconds after the fault injection begins. */
export interface PlannedFault {
  readonly atMs: number;
  readonly fault: Fault;
}

/** @returns the position of the worker that a fault troubles; undefined for other faults */
export const troubledWorker = (fault: Fault): number | undefined =>
  fault.kind === 'worker' ||
  fault.kind === 'worker-crash' ||
  (fault.kind === 'link' && fault.place === 'worker')
    ? fault.index
    : undefined;
