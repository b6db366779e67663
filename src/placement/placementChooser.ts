/**
 * Chooses where the next task of an operation runs: on a slot of this daemon, or at a peer.
 */
import type { Objective } from '../types/configuration.js';
import { unreachable } from '../errors/unreachable.js';
import type { Operation } from '../types/inventory.js';
import type { PeerCandidate, PeerSlots } from '../offloading/peerSlots.js';
import { isOffloadWorthwhile, isSpilloverWorthwhile } from '../offloading/offloadPolicy.js';
import type { EndpointPool } from './endpointPool.js';
import type { HoldLimiter } from './holdLimiter.js';
import type { PooledEndpoint } from './pooledEndpoint.js';
import type { RunTimes } from './runTimes.js';
import type { SlotChoice } from './slotChoice.js';
import type { Task } from './types.js';

/**
 * Expected local completion time, in milliseconds, below which no task leaves the failure domain to
 * meet its deadline.
 */
const minDeadlineSpilloverMs = 500;

/** Where a task goes. */
export type Placement =
  | { readonly kind: 'slot'; readonly pooled: PooledEndpoint }
  | {
      readonly kind: 'peer';
      readonly incarnation: string;
      /** Expected time until this daemon would complete the task itself, in milliseconds. */
      readonly localCompletionMs: number;
      /**
       * `sooner`: the peer completes the task earlier. `deadline`: worth it only for a task that
       * would miss its deadline here.
       */
      readonly reason: 'sooner' | 'deadline';
      /** Endpoint with an idle slot, for a task that may not be offloaded. */
      readonly localFallback: PooledEndpoint | undefined;
    };

export interface PlacementChooserOptions {
  readonly pool: EndpointPool;
  readonly holdLimiter: HoldLimiter;
  readonly runTimes: RunTimes;
  /** Free slots of the peers; undefined where tasks are not offloaded. */
  readonly peerSlots: PeerSlots | undefined;
  /** Returns the objective of the configuration in force. */
  readonly objective: () => Objective;
}

export class PlacementChooser {
  private constructor(private readonly options: PlacementChooserOptions) {}

  static create(options: PlacementChooserOptions): PlacementChooser {
    return new PlacementChooser(options);
  }

  /**
   * Chooses in this order: a peer of the same failure domain that is clearly faster, a slot here,
   * a peer of another failure domain.
   *
   * @param operation - what the next task runs
   * @param waitingTasks - number of tasks in the queue
   * @returns the placement, or undefined if the task has to wait
   */
  choose(operation: Operation, waitingTasks: number): Placement | undefined {
    const local = this.options.pool.choose(operation, waitingTasks);
    const candidate = this.findFasterPeer(operation, local.completionMs);
    if (candidate !== undefined) {
      const localFallback = local.kind === 'none' ? undefined : local.pooled;
      const { incarnation } = candidate;
      return {
        kind: 'peer',
        incarnation,
        localCompletionMs: local.completionMs,
        reason: 'sooner',
        localFallback,
      };
    }
    const slot = this.chooseLocalSlot(operation, local);
    return slot ?? this.findSpillover(operation, local);
  }

  /** Finds a peer of the same failure domain that is worth the messages of offloading. */
  private findFasterPeer(
    operation: Operation,
    localCompletionMs: number,
  ): PeerCandidate | undefined {
    const { peerSlots, runTimes, objective } = this.options;
    const candidate = peerSlots?.fastest(operation, runTimes.typicalMs(operation), 'own');
    return candidate !== undefined &&
      isOffloadWorthwhile(objective(), localCompletionMs, candidate.expectedMs)
      ? candidate
      : undefined;
  }

  /** Uses the idle slot, unless the task is held for a faster endpoint. */
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

  /** Finds a peer of another failure domain for tasks that this one would complete late. */
  private findSpillover(operation: Operation, { completionMs }: SlotChoice): Placement | undefined {
    const { peerSlots, runTimes, objective } = this.options;
    const candidate = peerSlots?.fastest(operation, runTimes.typicalMs(operation), 'other');
    if (candidate === undefined) {
      return undefined;
    }
    const isSooner = isSpilloverWorthwhile(objective(), completionMs, candidate.expectedMs);
    if (!isSooner && completionMs < minDeadlineSpilloverMs) {
      return undefined;
    }
    const { incarnation } = candidate;
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
 * Returns whether a task may be offloaded. An offloaded task does not go on to another peer. Trial
 * work is offloaded only while no available endpoint here fits it, since a peer's cap on trial work
 * could delay it.
 *
 * @param task - the task
 * @param placement - the peer that was chosen for its operation
 * @param nowMs - monotonic time of this process, in milliseconds
 */
export const mayOffload = (
  task: Task,
  placement: Extract<Placement, { kind: 'peer' }>,
  nowMs: number,
): boolean => {
  if (task.isOffloaded === true) {
    return false;
  }
  if (task.callerClass === 'trial' && placement.localCompletionMs < Infinity) {
    return false;
  }
  return placement.reason === 'sooner' || nowMs + placement.localCompletionMs > task.deadlineAtMs;
};
