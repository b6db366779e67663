/**
 * Divides workers between daemons while a shard changes hands: the daemon that had the shard goes on dispatching to its
 * workers, and releases one after the other to the daemon that was granted the shard and asks for them.
 */
import type { HeldWorker } from '../dispatch/workerViews.js';
import type { FleetHeartbeat } from '../types/fleet.js';
import type { WorkerRecord } from '../types/workers.js';

/**
 * Longest wait for a worker that another daemon does not release, in milliseconds: about as long as a daemon that leaves
 * goes on. The worker is then taken over, which stops the runs there.
 */
export const maxAwaitMs = 5_000;
/** Share of the workers to hand over that are released at a time, so that the others go on starting tasks. */
const releasedShare = 0.25;

/** What the other daemons of the failure domain state of the workers. */
export interface WorkerClaims {
  /** Workers that they dispatch to. */
  readonly heldIds: ReadonlySet<string>;
  /** Workers that are assigned to them and that they wait for. */
  readonly awaitedIds: ReadonlySet<string>;
  /** Whether there are other daemons, and each of them asks for workers before it takes them over. */
  readonly doAllAsk: boolean;
}

/** Reads what the last heartbeats of the other daemons of the failure domain claim. */
export const readClaims = (heartbeats: readonly FleetHeartbeat[]): WorkerClaims => ({
  heldIds: new Set(heartbeats.flatMap(({ load }) => load.workers.map(({ workerId }) => workerId))),
  awaitedIds: new Set(heartbeats.flatMap(({ awaitedWorkerIds = [] }) => awaitedWorkerIds)),
  doAllAsk:
    heartbeats.length > 0 &&
    heartbeats.every(({ awaitedWorkerIds }) => awaitedWorkerIds !== undefined),
});

/** What a division starts from. */
export interface DivisionInput {
  /** Listed workers of the failure domain, and those of them that the store has assigned to this daemon. */
  readonly listed: readonly WorkerRecord[];
  readonly granted: readonly WorkerRecord[];
  /** Workers that this daemon has not released yet. */
  readonly held: readonly HeldWorker[];
  readonly claims: WorkerClaims;
  /** When each worker was first waited for, in monotonic time. */
  readonly awaitedSinceMs: ReadonlyMap<string, number>;
  /** Workers whose release has begun. */
  readonly releasingIds: ReadonlySet<string>;
  /** Number of workers that were released a short while ago and that no other daemon dispatches to yet. */
  readonly unclaimedCount: number;
  /** Whether workers that are no longer granted may be kept until they are asked for. */
  readonly mayKeep: boolean;
  /** Whether the other daemons may not have been heard yet, so that what they hold is unknown. */
  readonly isDiscoveringPeers: boolean;
  readonly nowMs: number;
}

export interface Division {
  /** Granted workers to dispatch to. */
  readonly served: readonly WorkerRecord[];
  /** Workers that are no longer granted, and that this daemon goes on dispatching to. */
  readonly kept: readonly WorkerRecord[];
  /** Granted workers that another daemon still has. */
  readonly awaitedIds: readonly string[];
  /** Workers that are no longer granted and get no more runs. */
  readonly releasingIds: readonly string[];
}

/** Decides which workers this daemon dispatches to, waits for and releases. */
export const divideWorkers = (input: DivisionInput): Division => {
  const { listed, granted, held } = input;
  const heldById = new Map(held.map((worker) => [worker.workerId, worker]));
  const isAwaited = ({ workerId }: WorkerRecord): boolean =>
    !heldById.has(workerId) && mustAwait(workerId, input);
  const grantedIds = new Set(granted.map(({ workerId }) => workerId));
  const ungranted = held.filter(({ workerId }) => !grantedIds.has(workerId));
  const releasing = new Set(chooseReleasing(ungranted, input));
  const keptAddresses = new Map(
    ungranted
      .filter(({ workerId }) => !releasing.has(workerId))
      .map(({ workerId, address }) => [workerId, address]),
  );
  return {
    served: granted.filter((worker) => !isAwaited(worker)),
    kept: listed.filter(({ workerId, address }) => keptAddresses.get(workerId) === address),
    awaitedIds: granted.filter(isAwaited).map(({ workerId }) => workerId),
    releasingIds: [...releasing],
  };
};

/** Whether a worker that was granted is not taken over yet, since another daemon dispatches to it. */
const mustAwait = (
  workerId: string,
  { claims, awaitedSinceMs, isDiscoveringPeers, nowMs }: DivisionInput,
): boolean => {
  const sinceMs = awaitedSinceMs.get(workerId) ?? nowMs;
  return isDiscoveringPeers || (claims.heldIds.has(workerId) && nowMs - sinceMs < maxAwaitMs);
};

/** Chooses the workers that get no more runs: those that are asked for, the least busy ones first, a few at a time. */
const chooseReleasing = (
  ungranted: readonly HeldWorker[],
  { claims, releasingIds, unclaimedCount, mayKeep }: DivisionInput,
): string[] => {
  if (!mayKeep) {
    return ungranted.map(({ workerId }) => workerId);
  }
  const forced = ungranted.filter(
    ({ workerId, isFenced }) => isFenced || releasingIds.has(workerId),
  );
  const maxReleasing = Math.ceil((ungranted.length + unclaimedCount) * releasedShare);
  const places = Math.max(maxReleasing - forced.length - unclaimedCount, 0);
  const asked = ungranted
    .filter((worker) => claims.awaitedIds.has(worker.workerId) && !forced.includes(worker))
    .sort((a, b) => a.runCount - b.runCount)
    .slice(0, places);
  return [...forced, ...asked].map(({ workerId }) => workerId);
};
