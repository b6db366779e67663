/**
 * Brings batches to their dispatchers: to this daemon's own, or to another daemon's by a request that
 * is sent again on another connection when it stays without an answer.
 */
import type { Dispatcher } from '../dispatch/dispatcher.js';
import type { Batch, BatchEnd } from '../types/dispatch.js';
import type { FleetPeer } from '../fleet/fleetPeer.js';
import type { FleetPeers } from '../fleet/fleetPeers.js';
import type { Clock } from '../ports/clock.js';
import { createDeferred } from '../utils/deferred.js';
import type { Deferred } from '../utils/deferred.js';
import type { FleetView } from './fleetView.js';
import type { BatchResult, BatchSender } from './batchSender.js';

/** A request is sent again when it has no answer after the expected time and this much more. */
const resendSlackMs = 400;
/** Expected times are off by about this factor. */
const expectationFactor = 2;
/** A request that failed at once is sent again after this time, in milliseconds. */
const minResendMs = 50;
const withdrawTimeoutMs = 400;
const maxSends = 6;

export interface BatchRouterOptions {
  readonly clock: Clock;
  readonly ownId: string;
  readonly dispatcher: Dispatcher;
  readonly peers: () => FleetPeers;
  readonly view: FleetView;
}

/** A batch at another daemon. */
interface RemoteBatch {
  readonly dispatcherId: string;
  /** Resolved when the daemon is lost. */
  readonly lost: Deferred<string>;
  isAsked: boolean;
}

export class BatchRouter implements BatchSender {
  private readonly remote = new Map<string, RemoteBatch>();

  private constructor(private readonly options: BatchRouterOptions) {}

  static create(options: BatchRouterOptions): BatchRouter {
    return new BatchRouter(options);
  }

  async run(dispatcherId: string, batch: Batch): Promise<BatchResult> {
    const { ownId, dispatcher, peers } = this.options;
    if (dispatcherId === ownId) {
      return toResult(await dispatcher.run(ownId, batch));
    }
    const peer = peers().find(dispatcherId);
    if (peer === undefined) {
      return { kind: 'lost', reason: 'it is not heard' };
    }
    const remote: RemoteBatch = {
      dispatcherId,
      lost: createDeferred(),
      isAsked: true,
    };
    this.remote.set(batch.batchId, remote);
    const lost = remote.lost.promise.then((reason): BatchResult => ({ kind: 'lost', reason }));
    const result = await Promise.race([this.runAt(peer, dispatcherId, batch), lost]);
    this.remote.delete(batch.batchId);
    return result;
  }

  withdraw(dispatcherId: string, batchId: string): void {
    const { ownId, dispatcher, peers } = this.options;
    if (dispatcherId === ownId) {
      dispatcher.withdraw(batchId);
      return;
    }
    // A withdrawal that is lost is made good by the next heartbeat, which does not ask for the batch.
    const remote = this.remote.get(batchId);
    if (remote !== undefined) {
      remote.isAsked = false;
    }
    const peer = peers().find(dispatcherId);
    if (peer !== undefined) {
      void peer.link.withdrawBatch({ batchId }, withdrawTimeoutMs);
    }
  }

  /** @returns the batches that a daemon is still asked to run */
  askedOf(dispatcherId: string | undefined): string[] {
    return [...this.remote].flatMap(([batchId, remote]) =>
      remote.isAsked && remote.dispatcherId === dispatcherId ? [batchId] : [],
    );
  }

  /** Tells whether a daemon has batches of this one. */
  asks(dispatcherId: string): boolean {
    return [...this.remote.values()].some((remote) => remote.dispatcherId === dispatcherId);
  }

  /** Ends the wait for a daemon that is no longer heard. */
  noteLost(dispatcherId: string): void {
    for (const { dispatcherId: id, lost } of this.remote.values()) {
      if (id === dispatcherId) {
        lost.resolve('it is no longer heard');
      }
    }
  }

  private async runAt(peer: FleetPeer, dispatcherId: string, batch: Batch): Promise<BatchResult> {
    const { clock, ownId, view, dispatcher, peers } = this.options;
    const patienceMs = batch.estimatedMs * expectationFactor + resendSlackMs;
    const isNear = view.nearnessOf(dispatcherId) === 'near';
    let reason = 'no answer';
    for (
      let sends = 0;
      sends < maxSends && this.remote.get(batch.batchId)?.isAsked === true;
      sends += 1
    ) {
      const sentAtMs = clock.nowMs();
      const load = isNear ? { load: dispatcher.load() } : {};
      const reply = await peer.link.runBatch({ askedBy: ownId, batch, ...load }, patienceMs);
      if (reply.isOk()) {
        peers().noteHeard(dispatcherId);
        view.refresh(dispatcherId, reply.value.load);
        return toResult(reply.value);
      }
      reason = reply.error.detail;
      await clock.sleep(Math.max(sentAtMs + minResendMs - clock.nowMs(), 0));
    }
    return { kind: 'lost', reason };
  }
}

const toResult = (end: BatchEnd): BatchResult =>
  end.isPartial
    ? {
        kind: 'partial',
        returned: end.ends.flatMap((one) => (one.kind === 'returned' ? [one.task] : [])),
      }
    : { kind: 'ended', end };
