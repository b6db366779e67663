/**
 * The choice of a place for the next task of an operation: a slot here, or a peer.
 */
import type { Objective } from '../types/configuration.js';
import { unreachable } from '../errors/unreachable.js';
import type { Operation } from '../types/inventory.js';
import type { PeerCandidate, PeerSlots } from '../passing/peerSlots.js';
import { isOffloadWorthwhile, isSpilloverWorthwhile } from '../passing/passWorth.js';
import type { EndpointPool } from './endpointPool.js';
import type { HoldLimiter } from './holdBack.js';
import type { PooledEndpoint } from './pooledEndpoint.js';
import type { RunTimes } from './runTimes.js';
import type { SlotChoice } from './slotChoice.js';
import type { Task } from './types.js';

/** A deadline is thought of only when work here takes at least this long, in milliseconds. */
const minDeadlineSpilloverMs = 500;

export type Placement =
  | { readonly kind: 'slot'; readonly pooled: PooledEndpoint }
  | {
      readonly kind: 'peer';
      readonly incarnation: string;
      /** Expected time until the task would be completed here, in milliseconds. */
      readonly localCompletionMs: number;
      /** `sooner`: completed earlier there. `deadline`: only if it would be late here. */
      readonly reason: 'sooner' | 'deadline';
      /** Slot for a task that may not go. */
      readonly localFallback: PooledEndpoint | undefined;
    };

export interface PlacementChooserOptions {
  readonly pool: EndpointPool;
  readonly holdLimiter: HoldLimiter;
  readonly runTimes: RunTimes;
  /** Free slots of the peers; nothing where tasks are not passed. */
  readonly peerSlots: PeerSlots | undefined;
  readonly objective: () => Objective;
}

export class PlacementChooser {
  private constructor(private readonly options: PlacementChooserOptions) {}

  static create(options: PlacementChooserOptions): PlacementChooser {
    return new PlacementChooser(options);
  }

  /**
   * Chooses a place.
   *
   * @param operation - what the next task runs
   * @param waitingTasks - how many tasks wait
   * @returns the place, or nothing if the task has to wait
   */
  choose(operation: Operation, waitingTasks: number): Placement | undefined {
    const local = this.options.pool.choose(operation, waitingTasks);
    const offer = this.findFasterPeer(operation, local.completionMs);
    if (offer !== undefined) {
      const instead = local.kind === 'none' ? undefined : local.pooled;
      const { incarnation } = offer;
      return {
        kind: 'peer',
        incarnation,
        localCompletionMs: local.completionMs,
        reason: 'sooner',
        localFallback: instead,
      };
    }
    const slot = this.chooseLocalSlot(operation, local);
    return slot ?? this.findSpillover(operation, local);
  }

  private findFasterPeer(operation: Operation, localMs: number): PeerCandidate | undefined {
    const { peerSlots, runTimes, objective } = this.options;
    const offer = peerSlots?.fastest(operation, runTimes.typicalMs(operation), 'own');
    return offer !== undefined && isOffloadWorthwhile(objective(), localMs, offer.expectedMs)
      ? offer
      : undefined;
  }

  private chooseLocalSlot(operation: Operation, local: SlotChoice): Placement | undefined {
    switch (local.kind) {
      case 'idle':
        return { kind: 'slot', pooled: local.pooled };
      case 'hold':
        return this.options.holdLimiter.shouldHold(operation, local)
          ? undefined
          : { kind: 'slot', pooled: local.pooled };
      case 'none':
        return undefined;
      default:
        return unreachable(local);
    }
  }

  /** Looks for another failure domain where this one is late. */
  private findSpillover(operation: Operation, { completionMs }: SlotChoice): Placement | undefined {
    const { peerSlots, runTimes, objective } = this.options;
    const offer = peerSlots?.fastest(operation, runTimes.typicalMs(operation), 'other');
    if (offer === undefined) {
      return undefined;
    }
    const isSooner = isSpilloverWorthwhile(objective(), completionMs, offer.expectedMs);
    if (!isSooner && completionMs < minDeadlineSpilloverMs) {
      return undefined;
    }
    const { incarnation } = offer;
    const reason = isSooner ? 'sooner' : 'deadline';
    return {
      kind: 'peer',
      incarnation,
      localCompletionMs: completionMs,
      reason,
      localFallback: undefined,
    };
  }
}

/**
 * Tells whether a task may go to a peer.
 *
 * Trial work stays while it can run here at all: a peer's cap on trial work would hold it up.
 *
 * @param task - the task
 * @param place - the peer
 * @param nowMs - the time
 */
export const mayOffload = (
  task: Task,
  place: Extract<Placement, { kind: 'peer' }>,
  nowMs: number,
): boolean => {
  if (task.isOffloaded === true) {
    return false;
  }
  if (task.callerClass === 'trial' && place.localCompletionMs < Infinity) {
    return false;
  }
  return place.reason === 'sooner' || nowMs + place.localCompletionMs > task.deadlineAtMs;
};
