/**
 * Decides from the replies of an endpoint whether it keeps getting tasks, is paused with
 * exponential backoff, or goes into quarantine.
 */
import { unreachable } from '../errors/unreachable.js';
import type { EndpointReply } from '../ports/endpoints.js';

/** Faults without a success in between that put an endpoint into quarantine. */
const maxConsecutiveFaults = 3;
const firstBusyPauseMs = 20;
const maxBusyPauseMs = 1_000;
const firstUnreachablePauseMs = 100;
const maxUnreachablePauseMs = 5_000;
const firstQuarantineMs = 500;
const maxQuarantineMs = 30_000;
/** Pause of an endpoint that is shutting down. */
const leavingPauseMs = 5_000;

/** What follows from a reply for the endpoint. */
export type HealthVerdict =
  /** It keeps getting tasks. */
  | { readonly kind: 'open' }
  /** It did not start the task and gets none for a time. */
  | { readonly kind: 'pause'; readonly durationMs: number }
  /** Its tasks fail; after the time one task probes it. */
  | { readonly kind: 'quarantine'; readonly durationMs: number };

export class EndpointHealth {
  /** Faults, quarantines and refusals since the last success. */
  private faults = 0;
  private consecutiveQuarantines = 0;
  private refusals = 0;

  private constructor() {
    // Built by create.
  }

  static create(): EndpointHealth {
    return new EndpointHealth();
  }

  /**
   * Records the reply to one attempt.
   *
   * @param reply - the reply
   * @returns what follows for the endpoint
   */
  recordReply(reply: EndpointReply): HealthVerdict {
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

  /** A task that failed by its own fault counts as a success of the endpoint. */
  private recordSuccess(): HealthVerdict {
    this.faults = 0;
    this.consecutiveQuarantines = 0;
    this.refusals = 0;
    return { kind: 'open' };
  }

  private recordFault(): HealthVerdict {
    this.faults += 1;
    if (this.faults < maxConsecutiveFaults) {
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

/** Doubles the first duration with each occurrence after the first one, up to a maximum. */
const exponentialBackoffMs = (firstMs: number, occurrences: number, maxMs: number): number =>
  Math.min(firstMs * 2 ** Math.min(occurrences - 1, 30), maxMs);
