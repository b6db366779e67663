/** Port to the endpoints, which run tasks under leases. */
import type { Endpoint } from '../types/inventory.js';

/** One attempt to run one task on one endpoint. */
export interface TaskStart {
  /** The daemon process that starts the task. */
  readonly incarnation: string;
  readonly taskId: string;
  readonly attempt: number;
  readonly operation: string;
  readonly input: unknown;
  /** Length of the first lease in milliseconds. */
  readonly leaseMs: number;
}

/** The outcome of one attempt; `unknown` where the task may have run, or may still run. */
export type EndpointReply =
  | { readonly kind: 'done'; readonly result: unknown; readonly runTimeMs: number }
  | { readonly kind: 'failed'; readonly fault: 'task' | 'endpoint'; readonly detail: string }
  | { readonly kind: 'not-started'; readonly reason: 'unreachable' | 'busy' | 'leaving' }
  | { readonly kind: 'unknown'; readonly reason: 'no-answer' | 'mismatch' | 'lease-lapsed' };

export interface EndpointPort {
  /**
   * Runs one task and waits for its end. The reply is `not-started` only if the endpoint certainly did
   * not start the task.
   *
   * @param endpoint - the endpoint that runs the task
   * @param start - the attempt
   * @param signal - ends the wait; the reply is then `unknown`
   */
  run(endpoint: Endpoint, start: TaskStart, signal: AbortSignal): Promise<EndpointReply>;
  /**
   * Stops running tasks with one message.
   *
   * @param endpoint - the endpoint that runs them
   * @param taskIds - the tasks to stop
   */
  cancel(endpoint: Endpoint, taskIds: readonly string[], signal: AbortSignal): Promise<void>;
  /**
   * Extends the lease of one running task.
   *
   * @param endpoint - the endpoint that runs it
   * @param start - the attempt that started it
   * @returns whether the endpoint still holds the lease
   */
  renew(endpoint: Endpoint, start: TaskStart, signal: AbortSignal): Promise<boolean>;
  close(): Promise<void>;
}
