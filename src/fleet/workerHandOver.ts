/**
 * The hand-over of a daemon that stops as planned: its workers are released as their runs end, runs that are
 * still at work are stopped, and the shards are given up when no order goes out any more.
 */
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';

/**
 * Time ahead of the end at which runs are stopped: enough for a stop order, for the run to end, and for the
 * report that confirms it.
 */
export const stopAheadMs = 450;

/** What is handed over; each step has its own module. */
export interface HandOver {
  /** Starts no more runs; resolves when all workers are released, each after its last run. */
  releaseWorkers(): Promise<void>;
  /** Stops all runs, and returns their tasks as far as the end of their runs is proved. */
  stopRuns(): void;
  /** Ends all orders to workers; tasks whose runs may go on are answered as withdrawn. */
  closeDispatcher(): Promise<void>;
  /** Gives up the shards, whose workers other daemons then take over. */
  leaveShards(): Promise<void>;
}

/**
 * Hands a daemon's workers over. No task is returned as long as its run may go on, and no order goes out after
 * the shards were given up.
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
  const released = handOver.releaseWorkers().then(() => stopWait.abort());
  const waitUntil = (atMs: number): Promise<unknown> =>
    Promise.race([released, clock.sleep(Math.max(atMs - clock.nowMs(), 0), stopWait.signal)]);
  await waitUntil(endAtMs - stopAheadMs);
  if (!stopWait.signal.aborted) {
    logger.info('Runs are stopped, since the daemon ends.');
    handOver.stopRuns();
    await waitUntil(endAtMs);
  }
  await handOver.closeDispatcher();
  await handOver.leaveShards();
};
