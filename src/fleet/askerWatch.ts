/**
 * Stops the batches of daemons that are not heard, also of those that never were. One async function.
 */
import type { Dispatcher } from '../dispatch/dispatcher.js';
import type { Clock } from '../ports/clock.js';
import { maxPeerSilenceMs } from './fleetPeers.js';

const checkPeriodMs = 100;

export interface AskerWatchOptions {
  readonly clock: Clock;
  readonly dispatcher: Dispatcher;
  /** Tells whether a process is this daemon's own or is heard. */
  readonly isHeard: (incarnation: string) => boolean;
}

export class AskerWatch {
  private readonly stop = new AbortController();
  private readonly watching: Promise<void>;

  private constructor(private readonly options: AskerWatchOptions) {
    this.watching = this.watch();
  }

  static create(options: AskerWatchOptions): AskerWatch {
    return new AskerWatch(options);
  }

  async close(): Promise<void> {
    this.stop.abort();
    await this.watching;
  }

  private async watch(): Promise<void> {
    const { clock, dispatcher, isHeard } = this.options;
    while (!this.stop.signal.aborted) {
      await clock.sleep(checkPeriodMs, this.stop.signal);
      dispatcher
        .askers()
        .filter((asker) => !isHeard(asker))
        .forEach((asker) => dispatcher.withdrawAll(asker, maxPeerSilenceMs));
    }
  }
}
