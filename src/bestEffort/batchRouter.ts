/**
 * Sends batches to their dispatchers: to this daemon's own one directly, and to that of another
 * daemon by a request that is sent again, on another connection, when no answer arrives in time.
 */
import { shortenTimeLimits } from '../dispatch/batchTimeLimits.js';
import { nameStep, nameTask } from '../dispatch/taskNames.js';
import type { Dispatcher } from '../dispatch/dispatcher.js';
import type { Batch, BatchReply } from '../types/dispatch.js';
import type { FleetPeer } from '../fleet/fleetPeer.js';
import type { FleetPeers } from '../fleet/fleetPeers.js';
import type { CallerContact } from '../fleet/callerContact.js';
import type { MessageAges } from '../fleet/messageAges.js';
import type { Clock } from '../ports/clock.js';
import { createDeferred } from '../utils/deferred.js';
import type { Deferred } from '../utils/deferred.js';
import { RecentNames } from '../utils/recentNames.js';
import type { FleetView } from './fleetView.js';
import type { BatchResult, BatchSender, LostBatch } from './batchSender.js';

/** Extra time to wait for an answer, beyond the run time, before a request is sent again. */
const resendSlackMs = 400;
/** Tasks may take this many times their expected run time; predictions are off by about as much. */
const runTimeErrorFactor = 2;
/** Shortest time between two sends of one request, for requests that fail at once. */
const minResendIntervalMs = 50;
const withdrawalTimeoutMs = 400;
/** Batches that are remembered since their dispatcher has answered them in part. */
const maxAcceptedBatches = 2_048;
/** Sends after which the dispatcher is considered lost. */
const maxSends = 6;

export interface BatchRouterOptions {
  readonly clock: Clock;
  /** Incarnation of this daemon. */
  readonly ownId: string;
  /** Gives the timestamps of requests. */
  readonly ages: MessageAges;
  readonly contact: CallerContact;
  readonly dispatcher: Dispatcher;
  /** Returns the peers; a function, since they are created after the router. */
  readonly peers: () => FleetPeers;
  readonly view: FleetView;
}

/** A batch that was sent to another daemon and has no result yet. */
interface RemoteBatch {
  readonly dispatcherId: string;
  /** Resolved when the daemon is lost. */
  readonly lost: Deferred<LostBatch>;
  /** False once the batch is withdrawn. */
  isRequested: boolean;
}

export class BatchRouter implements BatchSender {
  /** By batch id. */
  private readonly remoteBatches = new Map<string, RemoteBatch>();
  /** Number of batches at each other daemon, withdrawn ones included. */
  private readonly batchCounts = new Map<string, number>();
  /** Batches that their dispatcher has: it answered them in part, and kept the other tasks. */
  private readonly accepted = RecentNames.create(maxAcceptedBatches);
  private batchNumber = 0;

  private constructor(private readonly options: BatchRouterOptions) {}

  static create(options: BatchRouterOptions): BatchRouter {
    return new BatchRouter(options);
  }

  nextBatchId(): string {
    this.batchNumber += 1;
    return `${this.options.ownId}-${this.batchNumber}`;
  }

  /**
   * Runs a batch at a dispatcher. The result is `lost` if its daemon becomes unreachable meanwhile or
   * answers none of the requests. A batch that certainly did not reach it is returned. After a partial answer, a
   * further run asks for the other ends.
   */
  async run(dispatcherId: string, batch: Batch): Promise<BatchResult> {
    const { ownId, contact, dispatcher, peers } = this.options;
    if (dispatcherId === ownId) {
      return toBatchResult(await dispatcher.run(ownId, batch, contact.heldUpMs));
    }
    const peer = peers().find(dispatcherId);
    if (peer === undefined) {
      return this.endUnsent(batch, 'it is not reachable');
    }
    const remote: RemoteBatch = {
      dispatcherId,
      lost: createDeferred(),
      isRequested: true,
    };
    if (!this.hasBatchesAt(dispatcherId)) {
      peer.beginSharing(this.options.clock.nowMs());
    }
    this.remoteBatches.set(batch.batchId, remote);
    this.countBatches(dispatcherId, 1);
    const result = await Promise.race([
      this.runRemotely(peer, dispatcherId, batch),
      remote.lost.promise,
    ]);
    this.remoteBatches.delete(batch.batchId);
    this.countBatches(dispatcherId, -1);
    return result;
  }

  /** Keeps tasks in doubt for a while whose dispatcher was lost, unless it has returned them. */
  recordLost(
    { batchId, jobId, stepIndex, tasks }: Batch,
    returnedIndexes: ReadonlySet<number>,
    { unheardMs = 0 }: LostBatch,
  ): void {
    const stepName = nameStep(jobId, stepIndex);
    const taskNames = tasks
      .filter(({ index }) => !returnedIndexes.has(index))
      .map(({ index }) => nameTask(stepName, index));
    this.options.dispatcher.doubts.recordLostBatch(batchId, taskNames, unheardMs);
  }

  /** Withdraws a batch; a remote dispatcher is sent one message, whose answer is not awaited. */
  withdraw(dispatcherId: string, batchId: string): void {
    const { ownId, dispatcher, peers } = this.options;
    if (dispatcherId === ownId) {
      dispatcher.withdraw(batchId);
      return;
    }
    // If the message is lost, the dispatcher stops the batch once a heartbeat no longer lists it.
    const remote = this.remoteBatches.get(batchId);
    if (remote !== undefined) {
      remote.isRequested = false;
    }
    const peer = peers().find(dispatcherId);
    if (peer !== undefined) {
      void peer.link.withdrawBatch({ batchId }, withdrawalTimeoutMs);
    }
  }

  /** @returns ids of the batches that a daemon is still asked to run, for the heartbeat to it */
  requestedBatchIds(dispatcherId: string | undefined): string[] {
    return [...this.remoteBatches].flatMap(([batchId, remote]) =>
      remote.isRequested && remote.dispatcherId === dispatcherId ? [batchId] : [],
    );
  }

  /** @returns whether this daemon has batches at another one, withdrawn ones included */
  hasBatchesAt(dispatcherId: string): boolean {
    return this.batchCounts.has(dispatcherId);
  }

  /**
   * Ends the wait for the batches at a daemon that is no longer reachable; they count as lost.
   *
   * @param unheardMs - time for which it was not heard at least, in milliseconds
   */
  failBatchesAt(dispatcherId: string, unheardMs: number): void {
    for (const { dispatcherId: id, lost } of this.remoteBatches.values()) {
      if (id === dispatcherId) {
        lost.resolve({
          kind: 'lost',
          reason: 'it is no longer heard',
          unheardMs,
        });
      }
    }
  }

  /** The result of a request that was not sent: the batch is lost if an earlier one has reached the dispatcher. */
  private endUnsent(batch: Batch, reason: string): BatchResult {
    return this.accepted.has(batch.batchId)
      ? { kind: 'lost', reason }
      : returnUnsent(batch, reason);
  }

  private countBatches(dispatcherId: string, change: number): void {
    const count = (this.batchCounts.get(dispatcherId) ?? 0) + change;
    if (count > 0) {
      this.batchCounts.set(dispatcherId, count);
    } else {
      this.batchCounts.delete(dispatcherId);
    }
  }

  /**
   * Sends a batch to another daemon until it answers, the batch is withdrawn, or all sends have
   * failed.
   */
  private async runRemotely(
    peer: FleetPeer,
    dispatcherId: string,
    batch: Batch,
  ): Promise<BatchResult> {
    const { ages, clock, contact, ownId, view, peers } = this.options;
    const answerTimeoutMs = batch.estimatedMs * runTimeErrorFactor + resendSlackMs;
    const firstSentAtMs = clock.nowMs();
    let mayHaveArrived = this.accepted.has(batch.batchId);
    /** Why the batch may have arrived; repeats that were not sent don't change that. */
    let doubt = mayHaveArrived ? 'it answered in part only' : 'no answer';
    for (
      let sends = 0;
      sends < maxSends && this.remoteBatches.get(batch.batchId)?.isRequested === true;
      sends += 1
    ) {
      const sentAtMs = clock.nowMs();
      const { heldUpMs } = contact;
      const reply = await peer.link.runBatch(
        {
          askedBy: ownId,
          sentAtMs: ages.timestampMs(),
          ...(heldUpMs > 0 ? { heldUpMs } : {}),
          dispatcherId,
          batch: shortenTimeLimits(batch, sentAtMs - firstSentAtMs),
        },
        answerTimeoutMs,
      );
      if (reply.isOk()) {
        peers().recordContact(dispatcherId);
        view.updateWorkers(dispatcherId, reply.value.load);
        if (reply.value.isPartial) {
          this.accepted.add(batch.batchId);
        }
        return toBatchResult(reply.value);
      }
      const { kind, detail } = reply.error;
      if (!mayHaveArrived && kind === 'not-sent') {
        return returnUnsent(batch, detail);
      }
      doubt = mayHaveArrived ? doubt : detail;
      mayHaveArrived = true;
      await clock.sleep(Math.max(sentAtMs + minResendIntervalMs - clock.nowMs(), 0));
    }
    return { kind: 'lost', reason: doubt };
  }
}

/** The result of a batch that certainly did not reach its dispatcher: others may run its tasks. */
const returnUnsent = ({ tasks }: Batch, reason: string): BatchResult => ({
  kind: 'ended',
  end: {
    isPartial: false,
    ends: tasks.map((task) => ({ kind: 'returned', task, reason })),
    wasOffered: false,
    load: { workers: [] },
  },
});

const toBatchResult = (end: BatchReply): BatchResult =>
  end.isPartial
    ? {
        kind: 'partial',
        returned: end.ends.flatMap((one) => (one.kind === 'returned' ? [one.task] : [])),
      }
    : { kind: 'ended', end };
