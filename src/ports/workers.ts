/** Port to the workers, which run tasks under leases. */
import type { WorkerRecord, WorkerReport } from '../types/workers.js';

/** An order to begin one run of a task. */
export interface RunOrder {
  readonly taskName: string;
  /** Number of this run of the task; rises. */
  readonly run: number;
  readonly spec: string;
  /** End of the lease, on the worker's clock, in milliseconds. */
  readonly leaseEndWorkerMs: number;
  readonly fencingToken: number;
}

export interface StopOrder {
  readonly taskName: string;
  readonly run: number;
  readonly fencingToken: number;
}

export interface HoldOrder {
  readonly fencingToken: number;
  /** Ends up to this number are acknowledged and forgotten by the worker. */
  readonly lastSeenEnd: number;
  /** Renews the leases of all that runs there, if given; on the worker's clock, in milliseconds. */
  readonly leaseEndWorkerMs?: number;
  /** Time that the worker may wait for an end before it answers, in milliseconds. */
  readonly waitMs: number;
}

/** Why a worker certainly did nothing, or that nobody knows. */
export type OrderFailure =
  /** A newer dispatcher has used a higher fencing token. */
  | { readonly kind: 'stale-token' }
  /** Another life of the worker answers at its address. */
  | { readonly kind: 'replaced' }
  /** The worker refuses all orders for now. */
  | { readonly kind: 'unhealthy'; readonly status: number }
  /** No connection could be opened, so nothing was sent. */
  | { readonly kind: 'unreachable'; readonly detail: string }
  /** The order may have been carried out, or may be later. */
  | { readonly kind: 'no-answer'; readonly detail: string };

export type StartReply =
  | { readonly kind: 'started'; readonly workerClockMs: number }
  | {
      readonly kind: 'refused';
      /** `used-number`: a run of this number or a higher one has ended there. */
      readonly reason: 'used-number' | 'lease-over' | 'no-room';
      readonly workerClockMs: number;
    }
  /** The order itself is not valid. */
  | { readonly kind: 'invalid'; readonly detail: string }
  | OrderFailure;

export type StopReply = { readonly kind: 'stopped' } | OrderFailure;

export type HoldReply = { readonly kind: 'held'; readonly report: WorkerReport } | OrderFailure;

/** The address and life of a worker that an order is meant for. */
export type WorkerTarget = Pick<WorkerRecord, 'workerId' | 'address'>;

export interface WorkerPort {
  start(target: WorkerTarget, order: RunOrder, timeoutMs: number): Promise<StartReply>;
  stop(target: WorkerTarget, order: StopOrder, timeoutMs: number): Promise<StopReply>;
  hold(target: WorkerTarget, order: HoldOrder, timeoutMs: number): Promise<HoldReply>;
  /** Closes the connections to a worker that gets no more orders. */
  release(target: WorkerTarget): Promise<void>;
  close(): Promise<void>;
}
