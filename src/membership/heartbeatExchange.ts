/**
 * Exchanges heartbeats with a peer over its link, and decides which of the two starts an exchange.
 */
import type { Clock } from '../ports/clock.js';
import type { Heartbeat } from '../types/membership.js';
import { retryPeriodMs } from './heartbeatPeriod.js';
import type { ListedRoute, Peer } from './peer.js';

const heartbeatTimeoutMs = 1_000;
/** Periods without an exchange by the peer that starts them, after which this daemon starts one. */
const maxMissedPeriods = 2;

export interface HeartbeatExchangeOptions {
  /** VM of this daemon. */
  readonly vmId: string;
  readonly clock: Clock;
  /** Composes the heartbeat that is sent to a peer. */
  readonly sentHeartbeat: () => Heartbeat;
  /** Called with the heartbeat in the reply of a peer. */
  readonly onReply: (peer: Peer, heartbeat: Heartbeat) => void;
  /** Called after each pause between two exchanges with a peer, whether or not one was needed. */
  readonly onPeriod: (peer: Peer) => void;
}

export class HeartbeatExchange {
  private constructor(private readonly options: HeartbeatExchangeOptions) {}

  static create(options: HeartbeatExchangeOptions): HeartbeatExchange {
    return new HeartbeatExchange(options);
  }

  /**
   * Exchanges heartbeats over one link, once at first and then whenever this daemon starts the
   * exchange; resolves after the route is stopped.
   */
  async maintainLink(peer: Peer, route: ListedRoute): Promise<void> {
    const { clock } = this.options;
    const { signal } = route.stop;
    await this.exchange(peer, route);
    while (!signal.aborted) {
      const isReachable = peer.member(clock.nowMs()) !== undefined;
      const pauseMs = isReachable ? peer.periodMs : Math.min(peer.periodMs, retryPeriodMs);
      await clock.sleep(pauseMs, signal);
      if (this.isInitiator(peer)) {
        await this.exchange(peer, route);
      }
      this.options.onPeriod(peer);
    }
  }

  /** Sends a heartbeat and reports the one in the reply; a failed exchange has no effect. */
  async exchange(peer: Peer, { link, stop }: ListedRoute): Promise<void> {
    if (stop.signal.aborted) {
      return;
    }
    const timeout = AbortSignal.any([stop.signal, AbortSignal.timeout(heartbeatTimeoutMs)]);
    const reply = await link.heartbeat(this.options.sentHeartbeat(), timeout);
    if (reply.isOk()) {
      this.options.onReply(peer, reply.value);
    }
  }

  /**
   * Checks whether this daemon has to start the next exchange: the one with the lower VM id does;
   * the other one takes over while none arrive.
   */
  private isInitiator(peer: Peer): boolean {
    const sinceIncomingMs = peer.sinceIncomingExchangeMs(this.options.clock.nowMs());
    return this.options.vmId < peer.vmId || sinceIncomingMs >= maxMissedPeriods * peer.periodMs;
  }
}
