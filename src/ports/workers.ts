/** Port to the workers, which run tasks under leases. */
import type { WorkerRecord, WorkerReport } from '../types/workers.js';

/** An order to start one run of a task. */
export interface RunOrder {
  readonly taskName: string;
  /** Number of this run of the task; increases with every run. */
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

/** A long poll for the worker's report, which may also renew the leases of its runs. */
export interface HoldOrder {
  readonly fencingToken: number;
  /** Acknowledges the ends up to this number, which the worker then no longer reports. */
  readonly lastSeenEnd: number;
  /** New end of the leases of all runs there, on the worker's clock; without it none is renewed. */
  readonly leaseEndWorkerMs?: number;
  /** Time that the worker may wait for the next end of a run before it answers, in milliseconds. */
  readonly waitMs: number;
}

/** Why an order failed; in all cases but the last two, the worker certainly did nothing. */
export type OrderFailure =
  /** A newer dispatcher has used a higher fencing token. */
  | { readonly kind: 'stale-token' }
  /** The instance at the worker's address is not the one that the order is for. */
  | { readonly kind: 'replaced' }
  /** The worker refuses all orders for now. */
  | { readonly kind: 'unhealthy'; readonly status: number }
  /** No connection could be opened, so nothing was sent. */
  | { readonly kind: 'unreachable'; readonly detail: string }
  /**
   * The connection was closed or reset before the answer. The order may have been carried out. A crash of the
   * worker shows so, but a fault of the network can look the same.
   */
  | { readonly kind: 'disconnected'; readonly detail: string }
  /** The order may have been carried out, or may still be. */
  | { readonly kind: 'no-answer'; readonly detail: string };

export type StartReply =
  | {
      readonly kind: 'started';
      readonly workerClockMs: number;
      /** Start of the replying worker, in milliseconds since the epoch, if the reply states it. */
      readonly startedAtMs?: number | undefined;
    }
  | {
      readonly kind: 'refused';
      /** `used-number`: a run of this number or a higher one has already ended there. */
      readonly reason: 'used-number' | 'lease-over' | 'no-room';
      readonly workerClockMs: number;
      /** Start of the replying worker, in milliseconds since the epoch, if the reply states it. */
      readonly startedAtMs?: number | undefined;
    }
  /** The worker rejects the order as not valid. */
  | { readonly kind: 'invalid'; readonly detail: string }
  | OrderFailure;

export type StopReply = { readonly kind: 'stopped' } | OrderFailure;

export type HoldReply = { readonly kind: 'held'; readonly report: WorkerReport } | OrderFailure;

/** The worker that an order is for, and its address. */
export type WorkerTarget = Pick<WorkerRecord, 'workerId' | 'address'>;

export interface WorkerPort {
  start(target: WorkerTarget, order: RunOrder, timeoutMs: number): Promise<StartReply>;
  stop(target: WorkerTarget, order: StopOrder, timeoutMs: number): Promise<StopReply>;
  /** Waits for the worker's report; `timeoutMs` has to exceed the wait in the order. */
  hold(target: WorkerTarget, order: HoldOrder, timeoutMs: number): Promise<HoldReply>;
  /** Closes the connections to a worker that gets no more orders. */
  disconnect(target: WorkerTarget): Promise<void>;
  close(): Promise<void>;
}
