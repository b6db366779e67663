/**
 * Sends requests to the daemon that owns their key, or to a successor that holds its table. A request
 * whose link broke is sent again to the same incarnation, which recognises the copy, or to its
 * successor, which starts nothing. It never goes to any other daemon.
 */
import type { Result } from 'ts-results-es';
import type { Clock } from '../ports/clock.js';
import type {
  ForwardedStatus,
  ForwardedSubmission,
  PeerError,
  PeerLink,
  StatusReply,
  SubmissionRef,
  SubmitOutcome,
} from '../ports/peers.js';
import { withTimeout } from '../utils/withTimeout.js';
import type { PeerLinks, SuccessorDirectory } from './successorDirectory.js';
import { withRemainingDeadline } from './remainingDeadline.js';

const maxAttempts = 5;
/** Pause after the first failed attempt; it doubles with every further one. */
const initialBackoffMs = 50;
/** Time past the deadline for which the owner's answer is still accepted. */
const answerGraceMs = 500;
/** Timeout of a submission with an invalid body, which states no deadline. */
const invalidBodyTimeoutMs = 2_000;
/** Timeout of a cancellation, and of a status request beyond its `waitMs`. */
const queryTimeoutMs = 2_000;

export interface OwnerClientOptions {
  readonly clock: Clock;
  readonly peers: PeerLinks;
  readonly successors: SuccessorDirectory;
}

/** One attempt over a link, with the time in milliseconds that is left for it. */
type SendRequest<T> = (
  link: PeerLink,
  leftMs: number,
  signal: AbortSignal,
) => Promise<Result<T, PeerError>>;

export class OwnerClient {
  private constructor(private readonly options: OwnerClientOptions) {}

  static create(options: OwnerClientOptions): OwnerClient {
    return new OwnerClient(options);
  }

  /** @returns the outcome, or nothing when neither the owner nor a successor replied */
  async submit(request: ForwardedSubmission): Promise<SubmitOutcome | undefined> {
    const { body, owner } = request;
    const timeoutMs = body.kind === 'valid' ? body.submission.deadlineMs : invalidBodyTimeoutMs;
    return this.send(owner.incarnation, timeoutMs, (link, leftMs, signal) =>
      link.forward({ ...request, body: withRemainingDeadline(body, leftMs) }, signal),
    );
  }

  /** @returns the reply, or nothing when neither the owner nor a successor replied */
  async status(request: ForwardedStatus): Promise<StatusReply | undefined> {
    const timeoutMs = request.waitMs + queryTimeoutMs;
    return this.send(request.owner.incarnation, timeoutMs, (link, _leftMs, signal) =>
      link.status(request, signal),
    );
  }

  /** @returns the reply, or nothing when neither the owner nor a successor replied */
  async cancel(request: SubmissionRef): Promise<StatusReply | undefined> {
    const { incarnation } = request.owner;
    return this.send(incarnation, queryTimeoutMs, (link, _leftMs, signal) =>
      link.cancel(request, signal),
    );
  }

  /**
   * Sends a request until the owner or its successor replies, and chooses the link anew before each
   * attempt. Gives up after the timeout or `maxAttempts` attempts, without a link, or when a peer
   * refuses the message.
   */
  private async send<T>(
    incarnation: string,
    timeoutMs: number,
    send: SendRequest<T>,
  ): Promise<T | undefined> {
    const { clock } = this.options;
    const endAtMs = clock.nowMs() + timeoutMs;
    let backoffMs = initialBackoffMs;
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      const leftMs = endAtMs - clock.nowMs();
      const link = this.chooseLink(incarnation, attempt);
      if (leftMs <= 0 || link === undefined) {
        return undefined;
      }
      const reply = await withTimeout(clock, leftMs + answerGraceMs, (signal) =>
        send(link, leftMs, signal),
      );
      if (reply === undefined || (reply.isErr() && reply.error.kind === 'refused')) {
        return undefined;
      }
      if (reply.isOk()) {
        return reply.value;
      }
      await clock.sleep(Math.min(backoffMs, leftMs));
      backoffMs *= 2;
    }
    return undefined;
  }

  /** Prefers the successor, whose table is final; every second attempt prefers the owner. */
  private chooseLink(incarnation: string, attempt: number): PeerLink | undefined {
    const successor = this.options.successors.findSuccessor(incarnation);
    const owner = this.options.peers.linkTo(incarnation);
    return attempt % 2 === 0 ? (successor ?? owner) : (owner ?? successor);
  }
}
