/**
 * The hand-over of a daemon that stops as planned. Where the other daemons ask for workers, the shards are given up at
 * once, and the daemon goes on dispatching to each worker until it is asked for. Where one of them does not, the
 * workers are released as their runs end, and the shards given up after that. In both cases runs that are still at work
 * near the end are stopped, and no order goes out after the hand-over has ended.
 */
import type { Dispatcher } from '../dispatch/dispatcher.js';
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { ServedWorkers } from './servedWorkers.js';
import type { ShardMembership } from './shardMembership.js';

/**
 * Time ahead of the end at which runs are stopped: enough for a stop order, for the run to end, and for the
 * report that confirms it.
 */
export const stopAheadMs = 450;
/**
 * Time before runs are stopped at which workers get no more runs that nobody has asked for: most runs end within it, and
 * the tasks of the others are returned.
 */
export const yieldAheadMs = 1_000;

/** What is handed over; each step has its own module. */
export interface HandOver {
  /** Whether all other daemons of the failure domain ask for workers before they take them over. */
  canYield(): boolean;
  /**
   * Goes on dispatching to each worker until another daemon asks for it, or until a time, in monotonic time; resolves when
   * all workers are released, each after its last run.
   */
  yieldWorkers(untilMs: number): Promise<void>;
  /** Starts no more runs; resolves when all workers are released, each after its last run. */
  releaseWorkers(): Promise<void>;
  /** Stops all runs, and returns their tasks as far as the end of their runs is proved. */
  stopRuns(): void;
  /** Ends all orders to workers; tasks whose runs may go on are answered as withdrawn. */
  closeDispatcher(): Promise<void>;
  /** Gives up the shards, whose workers other daemons then take over. */
  leaveShards(): Promise<void>;
}

/** Creates the steps of a daemon. */
export const createHandOver = ({
  dispatcher,
  servedWorkers,
  shards,
}: {
  readonly dispatcher: Pick<Dispatcher, 'stopRuns' | 'close'>;
  readonly servedWorkers: Pick<ServedWorkers, 'canYield' | 'yieldAll' | 'release'>;
  readonly shards: Pick<ShardMembership, 'leave'>;
}): HandOver => ({
  canYield: () => servedWorkers.canYield,
  yieldWorkers: (untilMs) => servedWorkers.yieldAll(untilMs),
  releaseWorkers: () => servedWorkers.release(),
  stopRuns: () => dispatcher.stopRuns(),
  closeDispatcher: () => dispatcher.close(),
  leaveShards: () => shards.leave(),
});

/**
 * Hands a daemon's workers over. No task is returned as long as its run may go on, and no order goes out after
 * this ends. A worker that another daemon takes over before refuses the orders of this one.
 *
 * @param handOver - the steps
 * @param endAtMs - when the dispatcher has to be closed, in monotonic time
 */
export const handOverWorkers = async (
  { clock, logger }: { readonly clock: Clock; readonly logger: Logger },
  handOver: HandOver,
  endAtMs: number,
): Promise<void> => {
  const stopWait = new AbortController();
  const stopAtMs = endAtMs - stopAheadMs;
  const isYielding = handOver.canYield();
  const reason = isYielding ? 'the others ask for workers' : 'not all others ask for workers';
  logger.info('The workers are handed over.', { reason });
  const left = isYielding ? handOver.leaveShards() : undefined;
  const releasing = isYielding
    ? handOver.yieldWorkers(stopAtMs - yieldAheadMs)
    : handOver.releaseWorkers();
  const released = releasing.then(() => stopWait.abort());
  const waitUntil = (atMs: number): Promise<unknown> =>
    Promise.race([released, clock.sleep(Math.max(atMs - clock.nowMs(), 0), stopWait.signal)]);
  await waitUntil(stopAtMs);
  if (!stopWait.signal.aborted) {
    logger.info('Runs are stopped, since the daemon ends.');
    handOver.stopRuns();
    await waitUntil(endAtMs);
  }
  await handOver.closeDispatcher();
  await (left ?? handOver.leaveShards());
};
