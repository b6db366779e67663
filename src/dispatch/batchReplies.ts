/**
 * Answers to the requesters of batches.
 */
import type { BatchReply, TaskEnd } from '../types/dispatch.js';
import type { MemberLoad } from '../types/fleet.js';
import type { OpenBatch } from './openBatch.js';

/** What an answer says of a batch. */
export interface ReplyContent {
  readonly ends: readonly TaskEnd[];
  /** Whether tasks are still open. */
  readonly isPartial: boolean;
  /** Load of all workers of this daemon. */
  readonly load: MemberLoad;
}

/**
 * Composes the answer to the request of a batch. It contains the load that the requester needs: of the workers to
 * which its tasks were assigned, or of all where tasks are returned, since its view of them was wrong.
 */
export const composeReply = (
  { usedWorkerIds, wasOffered }: OpenBatch,
  { ends, isPartial, load }: ReplyContent,
): BatchReply => ({
  isPartial,
  ends: [...ends],
  wasOffered,
  load: ends.some(({ kind }) => kind === 'returned')
    ? load
    : { workers: load.workers.filter(({ workerId }) => usedWorkerIds.has(workerId)) },
});
