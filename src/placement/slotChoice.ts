/**
 * The choice of a slot for the next task of one operation: a slot that is idle now, or a faster one
 * that is soon free.
 */
import { unreachable } from '../errors/unreachable.js';
import type { Operation } from '../types/inventory.js';
import type { Random } from '../ports/random.js';
import type { OperationSlots, UntriedRunTimes } from './operationSlots.js';
import type { PooledEndpoint } from './pooledEndpoint.js';
import { estimateWaitMs } from './slotWait.js';
import type { PlacementPolicy } from './types.js';

/** A wait for a faster endpoint must end this much earlier, as a share of the slower run time. */
const maxHoldCompletionShare = 0.9;

export type SlotChoice =
  /** An idle slot, and the expected run time there. */
  | { readonly kind: 'idle'; readonly pooled: PooledEndpoint; readonly completionMs: number }
  /** A busy endpoint is expected to complete the task earlier than the best idle one. */
  | {
      readonly kind: 'hold';
      readonly pooled: PooledEndpoint;
      readonly completionMs: number;
      readonly idleCompletionMs: number;
    }
  /** No slot is idle; the expected completion is infinite where no endpoint fits. */
  | { readonly kind: 'none'; readonly completionMs: number };

export interface SlotChoiceInput {
  readonly operation: Operation;
  readonly slots: OperationSlots<PooledEndpoint>;
  readonly waitingTasks: number;
  readonly untried: UntriedRunTimes;
  readonly nowMs: number;
  readonly random: Random;
  readonly policy: PlacementPolicy;
}

/**
 * Chooses a slot.
 *
 * @param input - the endpoints of the operation and the work that waits
 */
export const chooseSlot = (input: SlotChoiceInput): SlotChoice => {
  const { operation, slots, random } = input;
  const probe = slots.probes.draw(random.next());
  if (probe !== undefined && operation.kind === 'repeatable') {
    return { kind: 'idle', pooled: probe, completionMs: input.untried.runTimeMs };
  }
  const choice = chooseFromBuckets(input);
  return choice.kind === 'none' && probe !== undefined
    ? { kind: 'idle', pooled: probe, completionMs: input.untried.runTimeMs }
    : choice;
};

const chooseFromBuckets = (input: SlotChoiceInput): SlotChoice => {
  const { slots, untried, nowMs, random, policy } = input;
  const waitingTasks = Math.max(input.waitingTasks, 1);
  const busy = { slots: 0, endSumMs: 0, runSumMs: 0 };
  let soonestMs = Infinity;
  for (const { bucket, rankMs, runTimeMs } of slots.bucketsByRank(untried)) {
    const pooled = bucket.idle.draw(random.next());
    if (pooled !== undefined) {
      return compareIdleWithBusy(policy, pooled, rankMs, soonestMs);
    }
    busy.slots += bucket.busySlots;
    busy.endSumMs += bucket.busyEndSumMs;
    busy.runSumMs += bucket.busyRunSumMs;
    soonestMs = Math.min(soonestMs, estimateWaitMs(busy, waitingTasks, nowMs) + runTimeMs);
  }
  return { kind: 'none', completionMs: soonestMs };
};

const compareIdleWithBusy = (
  policy: PlacementPolicy,
  pooled: PooledEndpoint,
  runTimeMs: number,
  soonestMs: number,
): SlotChoice => {
  switch (policy.kind) {
    case 'expected-completion':
      return soonestMs < runTimeMs * maxHoldCompletionShare
        ? { kind: 'hold', pooled, completionMs: soonestMs, idleCompletionMs: runTimeMs }
        : { kind: 'idle', pooled, completionMs: runTimeMs };
    case 'random':
    case 'least-connections':
      return { kind: 'idle', pooled, completionMs: runTimeMs };
    default:
      return unreachable(policy);
  }
};
