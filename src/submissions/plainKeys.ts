/**
 * Finds the owner of a plain key through the claims on the log.
 */
import type { Claims } from '../claims/claims.js';
import type { ClaimRecord, Verdict } from '../claims/types.js';
import type { Problem } from '../errors/problem.js';
import { unreachable } from '../errors/unreachable.js';
import type { Clock } from '../ports/clock.js';
import type { ForwardedSubmission, SubmissionBody, SubmissionRef } from '../ports/peers.js';
import type { OwnSubmissions } from './ownSubmissions.js';
import { logUnavailable, ownerUnproven } from './replies.js';
import { withTimeLeft } from './timeLeft.js';

const refusalBoundMs = 2_000;

export interface PlainKeysOptions {
  readonly clock: Clock;
  readonly claims: Claims;
  readonly own: OwnSubmissions;
}

/** Who answers a submission under a plain key. */
export type PlainRoute =
  | { readonly kind: 'owner'; readonly request: ForwardedSubmission }
  | { readonly kind: 'refusal'; readonly problem: Problem };

/** What the claims that were read say of a plain key. */
export type PlainOwner =
  | { readonly kind: 'owner'; readonly ref: SubmissionRef }
  | { readonly kind: 'refusal'; readonly problem: Problem }
  | { readonly kind: 'unclaimed' };

export class PlainKeys {
  private constructor(private readonly options: PlainKeysOptions) {}

  static create(options: PlainKeysOptions): PlainKeys {
    return new PlainKeys(options);
  }

  /**
   * Decides who answers a submission; claims the key for this daemon where nobody has.
   *
   * @param callerId - the caller
   * @param key - the plain key
   * @param body - the submission's body, or its fault
   */
  async route(callerId: string, key: string, body: SubmissionBody): Promise<PlainRoute> {
    const { clock, claims } = this.options;
    const arrivedAtMs = clock.nowMs();
    const boundMs = body.kind === 'valid' ? body.submission.deadlineMs : refusalBoundMs;
    const problem = this.findFault(callerId, body);
    const verdict = await claims.decide(this.compose(callerId, key, problem), boundMs);
    const leftMs = boundMs - (clock.nowMs() - arrivedAtMs);
    if (leftMs <= 0) {
      return this.explain({ kind: 'unavailable' }, problem);
    }
    if (verdict.kind !== 'decided' || verdict.record.kind === 'refusal') {
      return this.explain(verdict, problem);
    }
    const { owner } = verdict.record;
    return { kind: 'owner', request: { callerId, key, owner, body: withTimeLeft(body, leftMs) } };
  }

  /** Finds the owner of a key without claiming it. */
  find(callerId: string, key: string): PlainOwner {
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

  /** Tells whether a claim that names this daemon is proven to be the first. */
  isProvenFirst({ callerId, key, owner }: SubmissionRef): boolean {
    return this.options.claims.isProvenFirst({ kind: 'claim', callerId, key, owner });
  }

  private findFault(callerId: string, body: SubmissionBody): Problem | undefined {
    return body.kind === 'invalid'
      ? body.problem
      : this.options.own.check(callerId, body.submission);
  }

  private compose(callerId: string, key: string, problem: Problem | undefined): ClaimRecord {
    return problem === undefined
      ? { kind: 'claim', callerId, key, owner: this.options.own.owner }
      : { kind: 'refusal', callerId, key, problem };
  }

  /** A fault whose refusal is not on the log is told without the claim that nothing ran. */
  private explain(verdict: Verdict, problem: Problem | undefined): PlainRoute {
    if (verdict.kind === 'decided' && verdict.record.kind === 'refusal') {
      return { kind: 'refusal', problem: verdict.record.problem };
    }
    if (problem !== undefined) {
      return { kind: 'refusal', problem: { ...problem, runState: 'outcome-unknown' } };
    }
    const reason = verdict.kind === 'unproved' ? ownerUnproven() : logUnavailable();
    return { kind: 'refusal', problem: reason };
  }
}
