/**
 * Accepts the batches that other daemons request. The time limits of a batch count from when it was
 * sent, and a batch that was held up for long is returned: its requester may be gone, and the caller
 * may have been told that nothing runs.
 */
import type { Dispatcher } from '../dispatch/dispatcher.js';
import type { BatchRequest } from '../ports/fleetPeers.js';
import type { Logger } from '../ports/logger.js';
import { shortenTimeLimits } from '../dispatch/batchTimeLimits.js';
import type { BatchReply } from '../types/dispatch.js';
import { maxSharingSilenceMs } from './peerRelations.js';
import type { MessageAges } from './messageAges.js';

export interface BatchIntakeOptions {
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
  run({ askedBy, sentAtMs, batch }: BatchRequest): Promise<BatchReply> {
    const { ages, dispatcher, logger } = this.options;
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
}
