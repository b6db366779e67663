/**
 * The jobs that other daemons hold for callers, as they state in their heartbeats. A caller whose end was lost, or comes
 * late, sends its job again while the first daemon runs it on; the daemon that gets the next attempt knows of it by this.
 */
import type { Clock } from '../ports/clock.js';
import type { HeldJobGroup } from '../types/fleet.js';
import { heartbeatTickMs } from './requesterTimes.js';
import type { Statable } from './statementTurns.js';

/**
 * Least time since a request may have been sent from which its job is stated, in milliseconds: its caller may come back
 * 1.3 s after that, and a heartbeat comes at least every 0.6 s between daemons that dispatch. Jobs that are expected to
 * take longer are stated at once, since a request may have waited unnoticed before it was read.
 */
const minStatedAgeMs = 400;
/**
 * What was heard this long ago is not passed on any more, in milliseconds: each daemon of the failure domain has got a
 * heartbeat since then.
 */
const passedOnMs = 6 * heartbeatTickMs;
const maxClaims = 16_384;
/** Claims are looked through once in this time, in milliseconds. */
const evictionPeriodMs = 1_000;

/**
 * @param expectedMs - time that a job is expected to take
 * @returns time since its request may have been sent from which the job is stated, in milliseconds
 */
export const statedAfterMs = (expectedMs: number): number =>
  expectedMs >= minStatedAgeMs ? 0 : minStatedAgeMs;

/** Where a statement comes from. */
export type StatementSource = 'own-domain' | 'other-domain';

/** A job that another daemon holds. */
export interface HeldClaim {
  readonly jobId: string;
  /** Incarnation of the daemon that holds it. */
  readonly holder: string;
  /** Incarnation of the daemon that has passed the statement on; undefined if the holder itself was heard. */
  readonly via: string | undefined;
  /** Time by which no run of it goes on, in monotonic time. */
  readonly untilMs: number;
}

interface KnownClaim extends HeldClaim {
  readonly key: string;
  readonly heardAtMs: number;
  readonly source: StatementSource;
}

/** The statements of one heartbeat. */
export interface Statement {
  /** Incarnation of the sender. */
  readonly sender: string;
  readonly source: StatementSource;
  readonly groups: readonly HeldJobGroup[];
  /** Time since it was sent, in milliseconds, which is at least this. */
  readonly ageMs: number;
}

export class HeldJobs {
  /** By job and holder, the one that was heard last is at the end. */
  private readonly claims = new Map<string, KnownClaim>();
  private readonly holdersByJob = new Map<string, Set<string>>();
  /** Keys of the claims that are passed on, the one that was heard last is at the end. */
  private readonly passedOn = new Set<string>();
  private evictedAtMs = -Infinity;

  private constructor(
    private readonly clock: Clock,
    private readonly ownId: string,
  ) {}

  /**
   * @param ownId - incarnation of this daemon
   */
  static create(clock: Clock, ownId: string): HeldJobs {
    return new HeldJobs(clock, ownId);
  }

  get size(): number {
    return this.claims.size;
  }

  /** Records what another daemon states, of itself or of daemons in other failure domains. */
  record({ sender, source, groups, ageMs }: Statement): void {
    const nowMs = this.clock.nowMs();
    this.evictOver(nowMs);
    for (const { holder = sender, leftMsByJob } of groups) {
      const via = holder === sender ? undefined : sender;
      if (holder === this.ownId || (via !== undefined && source === 'other-domain')) {
        continue;
      }
      for (const [jobId, leftMs] of Object.entries(leftMsByJob)) {
        const untilMs = nowMs + Math.max(leftMs - ageMs, 0);
        const key = keyOf({ jobId, holder });
        this.set({ key, jobId, holder, via, untilMs, heardAtMs: nowMs, source });
      }
    }
  }

  /** Records by when the runs of a holder have ended at the latest, in monotonic time; its process has ended. */
  recordGone(holder: string, runsUntilMs: number): void {
    for (const claim of [...this.claims.values()]) {
      if (claim.holder === holder && claim.untilMs > runsUntilMs) {
        this.claims.set(claim.key, { ...claim, untilMs: runsUntilMs });
      }
    }
  }

  /** Forgets a claim of which none of the runs goes on. */
  forget({ jobId, holder }: Pick<HeldClaim, 'jobId' | 'holder'>): void {
    const key = keyOf({ jobId, holder });
    this.claims.delete(key);
    this.passedOn.delete(key);
    const holders = this.holdersByJob.get(jobId);
    holders?.delete(holder);
    if (holders?.size === 0) {
      this.holdersByJob.delete(jobId);
    }
  }

  /** Lists the daemons that hold a job. */
  claimsOn(jobId: string): HeldClaim[] {
    const nowMs = this.clock.nowMs();
    return [...(this.holdersByJob.get(jobId) ?? [])].flatMap((holder) => {
      const claim = this.claims.get(keyOf({ jobId, holder }));
      return claim !== undefined && claim.untilMs > nowMs ? [claim] : [];
    });
  }

  /** Lists what is passed on within the own failure domain: what holders in other ones have stated themselves of late. */
  listPassedOn(): (HeldClaim & Statable)[] {
    const nowMs = this.clock.nowMs();
    const claims: KnownClaim[] = [];
    for (const key of this.passedOn) {
      const claim = this.claims.get(key);
      if (claim === undefined || nowMs - claim.heardAtMs > passedOnMs) {
        this.passedOn.delete(key);
      } else if (claim.untilMs > nowMs) {
        claims.push(claim);
      }
    }
    return claims;
  }

  private set(claim: KnownClaim): void {
    const { key, jobId, holder, source, via } = claim;
    this.claims.delete(key);
    this.claims.set(key, claim);
    this.passedOn.delete(key);
    if (source === 'other-domain' && via === undefined) {
      this.passedOn.add(key);
    }
    this.holdersByJob.set(jobId, (this.holdersByJob.get(jobId) ?? new Set()).add(holder));
    const [oldest] = this.claims.values();
    if (this.claims.size > maxClaims && oldest !== undefined) {
      this.forget(oldest);
    }
  }

  private evictOver(nowMs: number): void {
    if (nowMs - this.evictedAtMs < evictionPeriodMs) {
      return;
    }
    this.evictedAtMs = nowMs;
    for (const claim of [...this.claims.values()]) {
      if (claim.untilMs <= nowMs) {
        this.forget(claim);
      }
    }
  }
}

const keyOf = ({ jobId, holder }: Pick<HeldClaim, 'jobId' | 'holder'>): string =>
  `${jobId} ${holder}`;
