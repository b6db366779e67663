/**
 * Decides from its replies whether an endpoint goes on getting tasks.
 */
import { unreachable } from '../errors/unreachable.js';
import type { EndpointReply } from '../ports/endpoints.js';

/** Starts in a row that fail before an endpoint counts as failing whatever it starts. */
const maxFaults = 3;
const busyPauseMs = 20;
const maxBusyPauseMs = 1_000;
const firstUnreachablePauseMs = 100;
const maxUnreachablePauseMs = 5_000;
const firstQuarantineMs = 500;
const maxQuarantineMs = 30_000;
const leavingPauseMs = 5_000;

/** What follows from a reply for the whole endpoint. */
export type HealthVerdict =
  | { readonly kind: 'open' }
  /** Nothing can start there now; the next start costs no task. */
  | { readonly kind: 'pause'; readonly durationMs: number }
  /** What starts there fails; one task tries it after the pause. */
  | { readonly kind: 'quarantine'; readonly durationMs: number };

export class EndpointHealth {
  private faults = 0;
  private quarantines = 0;
  private refusals = 0;

  private constructor() {
    // Built by create.
  }

  static create(): EndpointHealth {
    return new EndpointHealth();
  }

  /**
   * Takes the reply to one attempt.
   *
   * @param reply - the reply
   */
  note(reply: EndpointReply): HealthVerdict {
    switch (reply.kind) {
      case 'done':
        return this.noteSuccess();
      case 'failed':
        return reply.fault === 'task' ? this.noteSuccess() : this.noteFault();
      case 'unknown':
        return this.noteFault();
      case 'not-started':
        return this.noteRefusal(reply.reason);
      default:
        return unreachable(reply);
    }
  }

  private noteSuccess(): HealthVerdict {
    this.faults = 0;
    this.quarantines = 0;
    this.refusals = 0;
    return { kind: 'open' };
  }

  private noteFault(): HealthVerdict {
    this.faults += 1;
    if (this.faults < maxFaults) {
      return { kind: 'open' };
    }
    this.quarantines += 1;
    const durationMs = grow(firstQuarantineMs, this.quarantines, maxQuarantineMs);
    return { kind: 'quarantine', durationMs };
  }

  private noteRefusal(
    reason: Extract<EndpointReply, { kind: 'not-started' }>['reason'],
  ): HealthVerdict {
    this.refusals += 1;
    switch (reason) {
      case 'busy':
        return { kind: 'pause', durationMs: grow(busyPauseMs, this.refusals, maxBusyPauseMs) };
      case 'unreachable': {
        const durationMs = grow(firstUnreachablePauseMs, this.refusals, maxUnreachablePauseMs);
        return { kind: 'pause', durationMs };
      }
      case 'leaving':
        return { kind: 'pause', durationMs: leavingPauseMs };
      default:
        return unreachable(reason);
    }
  }
}

const grow = (firstMs: number, times: number, maxMs: number): number =>
  Math.min(firstMs * 2 ** Math.min(times - 1, 30), maxMs);
