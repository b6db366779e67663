/** Port to the endpoints that run tasks. */
import type { Endpoint } from '../types/inventory.js';

/** One attempt to run one task on one endpoint. */
export interface TaskStart {
  readonly incarnation: string;
  readonly taskId: string;
  readonly attempt: number;
  readonly operation: string;
  readonly input: unknown;
  /** Length of the first lease in milliseconds. */
  readonly leaseMs: number;
}

/** What became of one attempt. */
export type EndpointReply =
  | { readonly kind: 'done'; readonly result: unknown; readonly runTimeMs: number }
  | { readonly kind: 'failed'; readonly fault: 'task' | 'endpoint'; readonly detail: string }
  | { readonly kind: 'not-started'; readonly reason: 'unreachable' | 'busy' | 'leaving' }
  | { readonly kind: 'unknown'; readonly reason: 'no-answer' | 'mismatch' | 'lease-lapsed' };

export interface EndpointPort {
  /**
   * Runs one task. A reply `not-started` is given only where the endpoint certainly did not start.
   *
   * @param endpoint - where
   * @param start - the attempt
   * @param signal - gives up the wait; the reply is then `unknown`
   */
  run(endpoint: Endpoint, start: TaskStart, signal: AbortSignal): Promise<EndpointReply>;
  /**
   * Stops running tasks, in one message.
   *
   * @param endpoint - where
   * @param taskIds - the tasks to stop
   */
  cancel(endpoint: Endpoint, taskIds: readonly string[], signal: AbortSignal): Promise<void>;
  /**
   * Extends the lease of one running task.
   *
   * @returns whether the endpoint still holds the lease
   */
  renew(endpoint: Endpoint, start: TaskStart, signal: AbortSignal): Promise<boolean>;
  close(): Promise<void>;
}
