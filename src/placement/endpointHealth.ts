/**
 * Decides from its replies whether an endpoint goes on getting tasks.
 */
import { unreachable } from '../errors/unreachable.js';
import type { EndpointReply } from '../ports/endpoints.js';

/** Starts in a row that fail before an endpoint counts as failing whatever it starts. */
const maxConsecutiveFaults = 3;
const firstBusyPauseMs = 20;
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
  private consecutiveFaults = 0;
  private consecutiveQuarantines = 0;
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
        return this.recordSuccess();
      case 'failed':
        return reply.fault === 'task' ? this.recordSuccess() : this.recordFault();
      case 'unknown':
        return this.recordFault();
      case 'not-started':
        return this.recordRefusal(reply.reason);
      default:
        return unreachable(reply);
    }
  }

  private recordSuccess(): HealthVerdict {
    this.consecutiveFaults = 0;
    this.consecutiveQuarantines = 0;
    this.refusals = 0;
    return { kind: 'open' };
  }

  private recordFault(): HealthVerdict {
    this.consecutiveFaults += 1;
    if (this.consecutiveFaults < maxConsecutiveFaults) {
      return { kind: 'open' };
    }
    this.consecutiveQuarantines += 1;
    const durationMs = exponentialBackoffMs(
      firstQuarantineMs,
      this.consecutiveQuarantines,
      maxQuarantineMs,
    );
    return { kind: 'quarantine', durationMs };
  }

  private recordRefusal(
    reason: Extract<EndpointReply, { kind: 'not-started' }>['reason'],
  ): HealthVerdict {
    this.refusals += 1;
    switch (reason) {
      case 'busy':
        return {
          kind: 'pause',
          durationMs: exponentialBackoffMs(firstBusyPauseMs, this.refusals, maxBusyPauseMs),
        };
      case 'unreachable': {
        const durationMs = exponentialBackoffMs(
          firstUnreachablePauseMs,
          this.refusals,
          maxUnreachablePauseMs,
        );
        return { kind: 'pause', durationMs };
      }
      case 'leaving':
        return { kind: 'pause', durationMs: leavingPauseMs };
      default:
        return unreachable(reason);
    }
  }
}

const exponentialBackoffMs = (firstMs: number, times: number, maxMs: number): number =>
  Math.min(firstMs * 2 ** Math.min(times - 1, 30), maxMs);
