/**
 * The interface through which jobs send batches of tasks to dispatchers.
 */
import type { Batch, BatchReply, BatchTask } from '../types/dispatch.js';

/** The result of sending a batch to its dispatcher. */
export type BatchResult =
  | { readonly kind: 'ended'; readonly end: BatchReply }
  /** The dispatcher returned some tasks at once; send the batch again to wait for the others. */
  | { readonly kind: 'partial'; readonly returned: readonly BatchTask[] }
  /** The dispatcher is not reachable or did not answer; its tasks may have run. */
  | LostBatch;

export interface LostBatch {
  readonly kind: 'lost';
  readonly reason: string;
  /** Time for which the dispatcher had not been heard, if it is lost for that, in milliseconds. */
  readonly unheardMs?: number;
}

/** Sends batches to dispatchers, this daemon's own among them. */
export interface BatchSender {
  /** @returns an id for a batch that is unique in the fleet */
  nextBatchId(): string;
  /**
   * Runs a batch at a dispatcher. A batch that is sent again under the same id is not run twice,
   * but waits for the first run.
   */
  run(dispatcherId: string, batch: Batch): Promise<BatchResult>;
  /** Records that the dispatcher of a batch was lost; it may have started the tasks that it has not returned. */
  recordLost(batch: Batch, returnedIndexes: ReadonlySet<number>, lost: LostBatch): void;
  /** Withdraws a batch: none of its tasks is started any more, and running ones are stopped. */
  withdraw(dispatcherId: string, batchId: string): void;
}
