/**
 * Chooses a slot for the next task of one operation: one that is idle now, or a busy one of a
 * faster endpoint that is expected to be free soon.
 */
import { unreachable } from '../errors/unreachable.js';
import type { Operation } from '../types/inventory.js';
import type { Random } from '../ports/random.js';
import type { OperationSlots, UntriedRunTimes } from './operationSlots.js';
import type { PooledEndpoint } from './pooledEndpoint.js';
import { estimateWaitMs } from './slotWait.js';
import type { PlacementPolicy } from './types.js';

/**
 * A task is held for a busy endpoint only if it would complete there within this share of the run
 * time on the best idle one.
 */
const maxHoldCompletionShare = 0.9;

/** What was chosen. Times are expected ones from now to the end of the task, in milliseconds. */
export type SlotChoice =
  /** A slot is idle. */
  | { readonly kind: 'idle'; readonly pooled: PooledEndpoint; readonly completionMs: number }
  /** A busy endpoint is expected to complete the task earlier than `pooled`, the best idle one. */
  | {
      readonly kind: 'hold';
      readonly pooled: PooledEndpoint;
      readonly completionMs: number;
      readonly idleCompletionMs: number;
    }
  /** No slot is idle; the completion time is infinite where no endpoint fits. */
  | { readonly kind: 'none'; readonly completionMs: number };

/** What a choice depends on. */
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
 * Chooses a slot. Repeatable tasks go to an endpoint that is to be probed before any other; tasks
 * that may run only once go there only if no other slot is idle.
 *
 * @param input - the endpoints of the operation and the number of waiting tasks
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

/**
 * Goes through the buckets, fastest first, up to the first one with an idle slot. The busy slots of
 * the buckets before it give the earliest completion on a faster endpoint.
 */
const chooseFromBuckets = (input: SlotChoiceInput): SlotChoice => {
  const { slots, untried, nowMs, random, policy } = input;
  const waitingTasks = Math.max(input.waitingTasks, 1);
  const busy = { slots: 0, endSumMs: 0, runSumMs: 0 };
  let busyCompletionMs = Infinity;
  for (const { bucket, rankMs, runTimeMs } of slots.bucketsByRank(untried)) {
    const pooled = bucket.idle.draw(random.next());
    if (pooled !== undefined) {
      return compareIdleWithBusy(policy, pooled, rankMs, busyCompletionMs);
    }
    busy.slots += bucket.busySlots;
    busy.endSumMs += bucket.busyEndSumMs;
    busy.runSumMs += bucket.busyRunSumMs;
    busyCompletionMs = Math.min(
      busyCompletionMs,
      estimateWaitMs(busy, waitingTasks, nowMs) + runTimeMs,
    );
  }
  return { kind: 'none', completionMs: busyCompletionMs };
};

/** Decides between an idle slot and holding the task for a busy, faster endpoint. */
const compareIdleWithBusy = (
  policy: PlacementPolicy,
  pooled: PooledEndpoint,
  idleCompletionMs: number,
  busyCompletionMs: number,
): SlotChoice => {
  switch (policy.kind) {
    case 'expected-completion':
      return busyCompletionMs < idleCompletionMs * maxHoldCompletionShare
        ? { kind: 'hold', pooled, completionMs: busyCompletionMs, idleCompletionMs }
        : { kind: 'idle', pooled, completionMs: idleCompletionMs };
    case 'random':
    case 'least-connections':
      return { kind: 'idle', pooled, completionMs: idleCompletionMs };
    default:
      return unreachable(policy);
  }
};
