/**
 * Accepts the batches that other daemons request. The time limits of a batch count from when it was
 * sent, and a batch that was held up for long is returned: its requester may be gone, and the caller
 * may have been told that nothing runs.
 */
import type { Dispatcher } from '../dispatch/dispatcher.js';
import type { BatchRequest } from '../ports/fleetPeers.js';
import type { Logger } from '../ports/logger.js';
import { shortenTimeLimits } from '../dispatch/batchTimeLimits.js';
import type { Batch, BatchReply } from '../types/dispatch.js';
import { maxSharingSilenceMs } from './peerRelations.js';
import type { MessageAges } from './messageAges.js';

export interface BatchIntakeOptions {
  /** Incarnation of this daemon. */
  readonly ownId: string;
  readonly logger: Logger;
  readonly ages: MessageAges;
  readonly dispatcher: Dispatcher;
}

export class BatchIntake {
  private constructor(private readonly options: BatchIntakeOptions) {}

  static create(options: BatchIntakeOptions): BatchIntake {
    return new BatchIntake(options);
  }

  /**
   * Runs a batch; a repeated request joins the batch that is here already.
   *
   * @returns how its tasks ended; the answer may be partial
   */
  run({ askedBy, sentAtMs, dispatcherId, batch }: BatchRequest): Promise<BatchReply> {
    const { ownId, ages, dispatcher, logger } = this.options;
    if (dispatcherId !== undefined && dispatcherId !== ownId) {
      return this.rejectMisaddressedBatch(batch, dispatcherId);
    }
    const ageMs = sentAtMs === undefined ? 0 : Math.round(ages.ageMs(askedBy, sentAtMs));
    const isTooOld = ageMs > maxSharingSilenceMs && !dispatcher.hasBatch(batch.batchId);
    if (!isTooOld) {
      return dispatcher.run(askedBy, shortenTimeLimits(batch, ageMs));
    }
    const { batchId, jobId } = batch;
    logger.warn('A batch arrived too late and is returned.', { batchId, jobId, ageMs });
    return Promise.resolve({
      isPartial: false,
      ends: batch.tasks.map((task) => ({ kind: 'returned', task, reason: 'it arrived too late' })),
      wasOffered: false,
      load: { workers: [] },
    });
  }

  /**
   * Ends a batch that an earlier process at this address may have started: its runs may go on until
   * their leases end, so that its tasks must not start again now.
   */
  private rejectMisaddressedBatch(
    { batchId, jobId, tasks }: Batch,
    nodeId: string,
  ): Promise<BatchReply> {
    this.options.logger.warn('A batch is meant for an earlier process here.', {
      batchId,
      jobId,
      nodeId,
    });
    return Promise.resolve({
      isPartial: false,
      ends: tasks.map(({ index }) => ({ kind: 'withdrawn', index })),
      wasOffered: true,
      load: { workers: [] },
    });
  }
}
