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
import { unreachable } from '../errors/unreachable.js';
import { RecentNames } from '../utils/recentNames.js';
import type { MessageAges } from './messageAges.js';
import type { RequesterLeases } from './requesterLeases.js';
import { maxSharingSilenceMs } from './requesterTimes.js';

/** Batches that were returned and are remembered. */
const maxReturnedBatches = 2_048;

export interface BatchIntakeOptions {
  /** Incarnation of this daemon. */
  readonly ownId: string;
  readonly logger: Logger;
  readonly ages: MessageAges;
  readonly leases: RequesterLeases;
  readonly dispatcher: Dispatcher;
}

export class BatchIntake {
  /** Their tasks may run elsewhere, so that a repeated request starts nothing either. */
  private readonly returned = RecentNames.create(maxReturnedBatches);

  private constructor(private readonly options: BatchIntakeOptions) {}

  static create(options: BatchIntakeOptions): BatchIntake {
    return new BatchIntake(options);
  }

  /**
   * Runs a batch; a repeated request joins the batch that is here already.
   *
   * @returns how its tasks ended; the answer may be partial
   */
  run({ askedBy, sentAtMs, heldUpMs = 0, dispatcherId, batch }: BatchRequest): Promise<BatchReply> {
    const { ownId, ages, dispatcher, leases } = this.options;
    if (dispatcherId !== undefined && dispatcherId !== ownId) {
      return this.rejectMisaddressedBatch(batch, dispatcherId);
    }
    const isAgeKnown = sentAtMs === undefined || ages.knows(askedBy);
    if (isAgeKnown) {
      leases.recordMessage(askedBy, sentAtMs);
    }
    const ageMs = sentAtMs === undefined ? 0 : Math.round(ages.ageMs(askedBy, sentAtMs));
    const highestAgeMs = sentAtMs === undefined ? 0 : ages.highestAgeMs(askedBy, sentAtMs);
    const confirmedAgoMs = isAgeKnown ? highestAgeMs + heldUpMs : Infinity;
    if (dispatcher.hasBatch(batch.batchId)) {
      return dispatcher.run(askedBy, batch, confirmedAgoMs);
    }
    if (this.returned.has(batch.batchId)) {
      return this.returnBatch(batch, askedBy, 'it was returned before');
    }
    if (!isAgeKnown) {
      return this.returnBatch(batch, askedBy, 'its age is not known');
    }
    if (ageMs > maxSharingSilenceMs) {
      return this.returnBatch(batch, askedBy, 'it arrived too late', ageMs);
    }
    const lease = leases.leaseOf(askedBy);
    switch (lease) {
      case 'held':
        return dispatcher.run(
          askedBy,
          shortenTimeLimits(batch, ageMs, highestAgeMs),
          confirmedAgoMs,
        );
      case 'silent':
        return this.returnBatch(batch, askedBy, 'its requester has been silent', ageMs);
      case 'replaced':
        return this.returnBatch(
          batch,
          askedBy,
          'another process has replaced its requester',
          ageMs,
        );
      default:
        return unreachable(lease);
    }
  }

  /** Answers a batch of which nothing is started. */
  private returnBatch(
    { batchId, jobId, tasks }: Batch,
    nodeId: string,
    reason: string,
    ageMs?: number,
  ): Promise<BatchReply> {
    const { logger } = this.options;
    this.returned.add(batchId);
    logger.warn('A batch is returned unstarted.', {
      batchId,
      jobId,
      nodeId,
      reason,
      ...(ageMs === undefined ? {} : { ageMs }),
    });
    return Promise.resolve({
      isPartial: false,
      ends: tasks.map((task) => ({ kind: 'returned', task, reason })),
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
