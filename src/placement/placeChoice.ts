/**
 * The choice of a place for the next task of an operation: a slot here, or a peer.
 */
import type { Objective } from '../types/configuration.js';
import { unreachable } from '../errors/unreachable.js';
import type { Operation } from '../types/inventory.js';
import type { PeerOffer, PeerSlots } from '../passing/peerSlots.js';
import { isWorthPassing, isWorthSpilling } from '../passing/passWorth.js';
import type { EndpointPool } from './endpointPool.js';
import type { HoldBack } from './holdBack.js';
import type { PooledEndpoint } from './pooledEndpoint.js';
import type { RunTimes } from './runTimes.js';
import type { SlotChoice } from './slotChoice.js';
import type { Task } from './types.js';

/** A deadline is thought of only when work here takes at least this long, in milliseconds. */
const minSpillMs = 500;

export type Place =
  | { readonly kind: 'slot'; readonly pooled: PooledEndpoint }
  | {
      readonly kind: 'peer';
      readonly incarnation: string;
      /** Expected time until the task would be completed here, in milliseconds. */
      readonly localMs: number;
      /** `sooner`: completed earlier there. `deadline`: only if it would be late here. */
      readonly reason: 'sooner' | 'deadline';
      /** Slot for a task that may not go. */
      readonly instead: PooledEndpoint | undefined;
    };

export interface PlaceChooserOptions {
  readonly pool: EndpointPool;
  readonly holdBack: HoldBack;
  readonly runTimes: RunTimes;
  /** Free slots of the peers; nothing where tasks are not passed. */
  readonly peerSlots: PeerSlots | undefined;
  readonly objective: () => Objective;
}

export class PlaceChooser {
  private constructor(private readonly options: PlaceChooserOptions) {}

  static create(options: PlaceChooserOptions): PlaceChooser {
    return new PlaceChooser(options);
  }

  /**
   * Chooses a place.
   *
   * @param operation - what the next task runs
   * @param waitingTasks - how many tasks wait
   * @returns the place, or nothing if the task has to wait
   */
  choose(operation: Operation, waitingTasks: number): Place | undefined {
    const local = this.options.pool.choose(operation, waitingTasks);
    const offer = this.offerOf(operation, local.completionMs);
    if (offer !== undefined) {
      const instead = local.kind === 'none' ? undefined : local.pooled;
      const { incarnation } = offer;
      return { kind: 'peer', incarnation, localMs: local.completionMs, reason: 'sooner', instead };
    }
    const slot = this.slotOf(operation, local);
    return slot ?? this.spill(operation, local);
  }

  private offerOf(operation: Operation, localMs: number): PeerOffer | undefined {
    const { peerSlots, runTimes, objective } = this.options;
    const offer = peerSlots?.best(operation, runTimes.typicalMs(operation), 'own');
    return offer !== undefined && isWorthPassing(objective(), localMs, offer.expectedMs)
      ? offer
      : undefined;
  }

  private slotOf(operation: Operation, local: SlotChoice): Place | undefined {
    switch (local.kind) {
      case 'idle':
        return { kind: 'slot', pooled: local.pooled };
      case 'hold':
        return this.options.holdBack.isHeld(operation, local)
          ? undefined
          : { kind: 'slot', pooled: local.pooled };
      case 'none':
        return undefined;
      default:
        return unreachable(local);
    }
  }

  /** Looks for another failure domain where this one is late. */
  private spill(operation: Operation, { completionMs }: SlotChoice): Place | undefined {
    const { peerSlots, runTimes, objective } = this.options;
    const offer = peerSlots?.best(operation, runTimes.typicalMs(operation), 'other');
    if (offer === undefined) {
      return undefined;
    }
    const isSooner = isWorthSpilling(objective(), completionMs, offer.expectedMs);
    if (!isSooner && completionMs < minSpillMs) {
      return undefined;
    }
    const { incarnation } = offer;
    const reason = isSooner ? 'sooner' : 'deadline';
    return { kind: 'peer', incarnation, localMs: completionMs, reason, instead: undefined };
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
export const mayTravel = (
  task: Task,
  place: Extract<Place, { kind: 'peer' }>,
  nowMs: number,
): boolean => {
  if (task.isPassed === true) {
    return false;
  }
  if (task.callerClass === 'trial' && place.localMs < Infinity) {
    return false;
  }
  return place.reason === 'sooner' || nowMs + place.localMs > task.deadlineAtMs;
};
