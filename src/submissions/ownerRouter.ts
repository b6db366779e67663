/**
 * Brings requests to the daemon that owns their key, or to the heir of its table. A request whose
 * link broke goes to the same incarnation again, which deduplicates it; never to another.
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
import { within } from '../utils/within.js';
import type { HeirDirectory, PeerLinks } from './heirDirectory.js';
import { withTimeLeft } from './timeLeft.js';

const maxTries = 5;
const firstPauseMs = 50;
/** Time past the deadline in which the owner's answer may still come. */
const answerGraceMs = 500;
const refusalTimeoutMs = 2_000;
const questionTimeoutMs = 2_000;

export interface OwnerRouterOptions {
  readonly clock: Clock;
  readonly peers: PeerLinks;
  readonly heirs: HeirDirectory;
}

/** One try over a link, with the time that is left for it. */
type Send<T> = (
  link: PeerLink,
  leftMs: number,
  signal: AbortSignal,
) => Promise<Result<T, PeerError>>;

export class OwnerRouter {
  private constructor(private readonly options: OwnerRouterOptions) {}

  static create(options: OwnerRouterOptions): OwnerRouter {
    return new OwnerRouter(options);
  }

  /** @returns the outcome, or nothing when neither owner nor heir answered */
  async submit(request: ForwardedSubmission): Promise<SubmitOutcome | undefined> {
    const { body, owner } = request;
    const boundMs = body.kind === 'valid' ? body.submission.deadlineMs : refusalTimeoutMs;
    return this.send(owner.incarnation, boundMs, (link, leftMs, signal) =>
      link.forward({ ...request, body: withTimeLeft(body, leftMs) }, signal),
    );
  }

  /** @returns the reply, or nothing when neither owner nor heir answered */
  async status(request: ForwardedStatus): Promise<StatusReply | undefined> {
    const boundMs = request.waitMs + questionTimeoutMs;
    return this.send(request.owner.incarnation, boundMs, (link, _leftMs, signal) =>
      link.status(request, signal),
    );
  }

  /** @returns the reply, or nothing when neither owner nor heir answered */
  async cancel(request: SubmissionRef): Promise<StatusReply | undefined> {
    const { incarnation } = request.owner;
    return this.send(incarnation, questionTimeoutMs, (link, _leftMs, signal) =>
      link.cancel(request, signal),
    );
  }

  /** Tries until the owner or its heir answers; looks for the route again before each try. */
  private async send<T>(
    incarnation: string,
    boundMs: number,
    send: Send<T>,
  ): Promise<T | undefined> {
    const { clock } = this.options;
    const endAtMs = clock.nowMs() + boundMs;
    let pauseMs = firstPauseMs;
    for (let tries = 0; tries < maxTries; tries += 1) {
      const leftMs = endAtMs - clock.nowMs();
      const link = this.findRoute(incarnation, tries);
      if (leftMs <= 0 || link === undefined) {
        return undefined;
      }
      const reply = await within(clock, leftMs + answerGraceMs, (signal) =>
        send(link, leftMs, signal),
      );
      if (reply === undefined || (reply.isErr() && reply.error.kind === 'refused')) {
        return undefined;
      }
      if (reply.isOk()) {
        return reply.value;
      }
      await clock.sleep(Math.min(pauseMs, leftMs));
      pauseMs *= 2;
    }
    return undefined;
  }

  /** An heir's table is final, so it goes first; every other try falls back to the owner's link. */
  private findRoute(incarnation: string, tries: number): PeerLink | undefined {
    const heir = this.options.heirs.findHeir(incarnation);
    const owner = this.options.peers.linkTo(incarnation);
    return tries % 2 === 0 ? (heir ?? owner) : (owner ?? heir);
  }
}
