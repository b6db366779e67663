/**
 * How batches reach their dispatchers.
 */
import type { Batch, BatchEnd, BatchTask } from '../types/dispatch.js';

/** How a batch ended at its dispatcher. */
export type BatchResult =
  | { readonly kind: 'ended'; readonly end: BatchEnd }
  /** Some tasks came back at once; the batch is asked for again for the others. */
  | { readonly kind: 'partial'; readonly returned: readonly BatchTask[] }
  /** The dispatcher is no longer heard; its tasks may have run. */
  | { readonly kind: 'lost'; readonly reason: string };

/** Sends batches to dispatchers, this daemon's own among them. */
export interface BatchSender {
  /** Runs a batch; one that is sent again attaches to the first. */
  run(dispatcherId: string, batch: Batch): Promise<BatchResult>;
  withdraw(dispatcherId: string, batchId: string): void;
}
