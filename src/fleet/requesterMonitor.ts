/**
 * Withdraws the batches of requesters that are not reachable, including those from which no
 * heartbeat ever came. One async function checks them periodically.
 */
import type { Dispatcher } from '../dispatch/dispatcher.js';
import type { Clock } from '../ports/clock.js';
import { sleepUntilNextPeriod } from '../utils/periodicSleep.js';
import type { TaskSupervisor } from '../utils/taskSupervisor.js';
import { maxSharingSilenceMs } from './peerRelations.js';

const checkPeriodMs = 100;

export interface RequesterMonitorOptions {
  readonly clock: Clock;
  readonly dispatcher: Dispatcher;
  readonly supervisor: TaskSupervisor;
  /** Whether a process is this daemon itself or a reachable peer. */
  readonly isReachable: (incarnation: string) => boolean;
}

export class RequesterMonitor {
  private readonly stop = new AbortController();
  private readonly checking: Promise<void>;

  private constructor(private readonly options: RequesterMonitorOptions) {
    this.checking = options.supervisor.keep(
      'checking the requesters',
      () => this.checkPeriodically(),
      this.stop.signal,
    );
  }

  static create(options: RequesterMonitorOptions): RequesterMonitor {
    return new RequesterMonitor(options);
  }

  async close(): Promise<void> {
    this.stop.abort();
    await this.checking;
  }

  private async checkPeriodically(): Promise<void> {
    const { clock, dispatcher, isReachable } = this.options;
    while (!this.stop.signal.aborted) {
      await sleepUntilNextPeriod(clock, checkPeriodMs, this.stop.signal);
      dispatcher
        .requesters()
        .filter((requester) => !isReachable(requester))
        .forEach((requester) => dispatcher.withdrawAll(requester, maxSharingSilenceMs));
    }
  }
}
