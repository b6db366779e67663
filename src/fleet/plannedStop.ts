/**
 * The planned stop of a process: it reports that it is not ready, hands its workers over, accepts no new jobs
 * once the platform has noticed, and answers running jobs within the grace period.
 */
import type { Clock } from '../ports/clock.js';
import type { FleetDaemon } from './fleetDaemon.js';

/** Time within which the platform detects that a VM is not ready, and routes no new connections to it. */
const readinessNoticeMs = 2_700;
const pollMs = 50;
/** Jobs that have not ended are answered this long before the platform kills the process. */
const killMarginMs = 700;
/** Longest time from the end of the last run until the store confirms that this daemon has left. */
const handOverSlackMs = 200;

/** The server for callers. */
export interface CallerFront {
  /** From now on, closes each connection after its next response. */
  drain(): void;
  /** Accepts no new connections; resolves after the responses to all open requests. */
  close(): Promise<void>;
  /** Closes the connections without an open request. */
  closeIdleConnections(): void;
  /** Drops all connections at once. */
  kill(): Promise<void>;
}

export interface PlannedStopOptions {
  readonly clock: Clock;
  /** Time from the request to stop until the platform kills the process, in milliseconds. */
  readonly stopGraceMs: number;
  readonly daemon: Pick<
    FleetDaemon,
    'drain' | 'stopAcceptingJobs' | 'jobCount' | 'giveUpJobs' | 'close'
  >;
  readonly front: CallerFront;
  /** Ends what serves the other daemons and the operators. */
  readonly closeInterfaces: () => Promise<unknown>;
}

/**
 * Stops a process as planned. Runs that are still at work before the end of the grace period are stopped, so that
 * their tasks can be returned.
 */
export const stopAsPlanned = async (options: PlannedStopOptions): Promise<void> => {
  const { clock, stopGraceMs, daemon, front, closeInterfaces } = options;
  const endAtMs = clock.nowMs() + stopGraceMs - killMarginMs;
  const handedOver = daemon.drain(endAtMs);
  front.drain();
  await clock.sleep(readinessNoticeMs);
  daemon.stopAcceptingJobs();
  const closed = front.close();
  while (daemon.jobCount > 0 && clock.nowMs() < endAtMs) {
    front.closeIdleConnections();
    await clock.sleep(pollMs);
  }
  daemon.giveUpJobs();
  await clock.sleep(pollMs);
  front.closeIdleConnections();
  await Promise.race([
    Promise.all([handedOver, closed]),
    clock.sleep(Math.max(endAtMs - clock.nowMs(), 0) + handOverSlackMs),
  ]);
  await Promise.race([front.kill(), clock.sleep(pollMs)]);
  await Promise.race([daemon.close(), clock.sleep(pollMs)]);
  await Promise.race([closeInterfaces(), clock.sleep(pollMs)]);
};
