/**
 * Resolves plain keys: finds the owner of a key by the claims on the log.
 */
import type { Claims } from '../claims/claims.js';
import type { ClaimRecord, ClaimDecision } from '../claims/types.js';
import type { Problem } from '../errors/problem.js';
import { unreachable } from '../errors/unreachable.js';
import type { Clock } from '../ports/clock.js';
import type { ForwardedSubmission, SubmissionBody, SubmissionRef } from '../ports/peers.js';
import type { OwnSubmissions } from './ownSubmissions.js';
import { createLogUnavailableProblem, createOwnerUnprovenProblem } from './replies.js';
import { withRemainingDeadline } from './remainingDeadline.js';

/** Time to wait for the log with an invalid body, which states no deadline. */
const invalidBodyTimeoutMs = 2_000;

export interface PlainKeyResolverOptions {
  readonly clock: Clock;
  readonly claims: Claims;
  readonly own: OwnSubmissions;
}

/** Where a submission with a plain key goes: to the owner of the key, or nowhere. */
export type PlainKeyRoute =
  | { readonly kind: 'owner'; readonly request: ForwardedSubmission }
  | { readonly kind: 'refusal'; readonly problem: Problem };

/** Result of a search for the owner of a key. */
export type OwnerLookup =
  | { readonly kind: 'owner'; readonly ref: SubmissionRef }
  /** The submission was refused, or the key is not valid. */
  | { readonly kind: 'refusal'; readonly problem: Problem }
  /** The claims that were read from the log contain none of this key. */
  | { readonly kind: 'unclaimed' };

export class PlainKeyResolver {
  private constructor(private readonly options: PlainKeyResolverOptions) {}

  static create(options: PlainKeyResolverOptions): PlainKeyResolver {
    return new PlainKeyResolver(options);
  }

  /**
   * Decides where a submission goes. Unless the key is decided already, appends a claim for this
   * daemon to the log, or a refusal if the submission is not acceptable.
   *
   * @param callerId - the caller
   * @param key - the plain key
   * @param body - the submission, or why it is not valid
   * @returns the request to the owner, with the remaining deadline, or a refusal
   */
  async route(callerId: string, key: string, body: SubmissionBody): Promise<PlainKeyRoute> {
    const { clock, claims } = this.options;
    const arrivedAtMs = clock.nowMs();
    const timeoutMs = body.kind === 'valid' ? body.submission.deadlineMs : invalidBodyTimeoutMs;
    const problem = this.findProblem(callerId, body);
    const decision = await claims.decide(this.createClaimRecord(callerId, key, problem), timeoutMs);
    const leftMs = timeoutMs - (clock.nowMs() - arrivedAtMs);
    if (leftMs <= 0) {
      return this.explain({ kind: 'unavailable' }, problem);
    }
    if (decision.kind !== 'decided' || decision.record.kind === 'refusal') {
      return this.explain(decision, problem);
    }
    const { owner } = decision.record;
    return {
      kind: 'owner',
      request: { callerId, key, owner, body: withRemainingDeadline(body, leftMs) },
    };
  }

  /** Finds the owner of a key by the claims read from the log so far, without claiming it. */
  findOwner(callerId: string, key: string): OwnerLookup {
    const record = this.options.claims.find(callerId, key);
    if (record === undefined) {
      return { kind: 'unclaimed' };
    }
    switch (record.kind) {
      case 'claim':
        return { kind: 'owner', ref: { callerId, key, owner: record.owner } };
      case 'refusal':
        return { kind: 'refusal', problem: record.problem };
      default:
        return unreachable(record);
    }
  }

  /** @returns whether the claim of this owner is proven to be the first of the key */
  isProvenFirst({ callerId, key, owner }: SubmissionRef): boolean {
    return this.options.claims.isProvenFirst({ kind: 'claim', callerId, key, owner });
  }

  /** @returns why this daemon would refuse the submission, or nothing */
  private findProblem(callerId: string, body: SubmissionBody): Problem | undefined {
    return body.kind === 'invalid'
      ? body.problem
      : this.options.own.check(callerId, body.submission);
  }

  /** Creates a claim for this daemon, or the refusal of a submission with a problem. */
  private createClaimRecord(
    callerId: string,
    key: string,
    problem: Problem | undefined,
  ): ClaimRecord {
    return problem === undefined
      ? { kind: 'claim', callerId, key, owner: this.options.own.owner }
      : { kind: 'refusal', callerId, key, problem };
  }

  /**
   * Creates the refusal of a submission whose key has no decided owner. Only a refusal on the log
   * proves that nothing ran; without one, the run state of the problem is `outcome-unknown`.
   *
   * @param decision - what the log decided
   * @param problem - why this daemon would refuse the submission, if it would
   */
  private explain(decision: ClaimDecision, problem: Problem | undefined): PlainKeyRoute {
    if (decision.kind === 'decided' && decision.record.kind === 'refusal') {
      return { kind: 'refusal', problem: decision.record.problem };
    }
    if (problem !== undefined) {
      return { kind: 'refusal', problem: { ...problem, runState: 'outcome-unknown' } };
    }
    const reason =
      decision.kind === 'unproved' ? createOwnerUnprovenProblem() : createLogUnavailableProblem();
    return { kind: 'refusal', problem: reason };
  }
}
