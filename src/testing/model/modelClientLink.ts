/**
 * The way from the clients to a daemon, on which what they send may be late or lost, beyond the latency of the network.
 * Messages keep their order.
 */
import { unreachable } from '../../errors/unreachable.js';
import type { Clock } from '../../ports/clock.js';
import type { InboundFault } from './modelEvents.js';

/** What a client sends: its request, or the end of its connection. */
export type ClientMessage = 'request' | 'end';

export class ModelClientLink {
  private fault: InboundFault | undefined;
  /** When the last message arrives, in simulated time. */
  private lastArrivalAtMs = 0;

  private constructor(private readonly time: Pick<Clock, 'nowMs' | 'sleep'>) {}

  static create(time: Pick<Clock, 'nowMs' | 'sleep'>): ModelClientLink {
    return new ModelClientLink(time);
  }

  setFault(fault: InboundFault | undefined): void {
    this.fault = fault;
  }

  /** Hands a message over when it arrives: at once while the link has no fault, and never if it is lost. */
  deliver(message: ClientMessage, receive: () => void): void {
    const delayMs = this.delayOf(message);
    if (delayMs === undefined) {
      return;
    }
    const nowMs = this.time.nowMs();
    this.lastArrivalAtMs = Math.max(this.lastArrivalAtMs, nowMs + delayMs);
    if (this.lastArrivalAtMs === nowMs) {
      receive();
      return;
    }
    void this.time.sleep(this.lastArrivalAtMs - nowMs).then(receive);
  }

  /** @returns the additional delay in milliseconds; undefined for a message that is lost */
  private delayOf(message: ClientMessage): number | undefined {
    const { fault } = this;
    switch (fault?.kind) {
      case undefined:
        return 0;
      case 'late-clients':
      case 'late-all':
        return fault.byMs;
      case 'lost-ends':
        return message === 'end' ? undefined : 0;
      default:
        return unreachable(fault);
    }
  }
}
