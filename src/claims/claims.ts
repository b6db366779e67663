/**
 * Decides who owns a plain key, which does not name its owner: the first record of the key on a
 * shared log names the owner or the refusal, and every daemon reads the same first record.
 */
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { LogService } from '../ports/logService.js';
import { withTimeout } from '../utils/withTimeout.js';
import { ClaimFollower } from './claimFollower.js';
import { ClaimIndex } from './claimIndex.js';
import { ClaimWriter } from './claimWriter.js';
import type { ClaimRecord, ClaimDecision } from './types.js';

/** Longest wait for the first record of a key, however late the deadline of the submission. */
const maxDecisionWaitMs = 3_000;

export interface ClaimsOptions {
  readonly logService: LogService;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Returns the number of reachable daemons, this one included. */
  readonly countDaemons: () => number;
  /** Returns the resubmission window: how long a caller may submit a job again, in milliseconds. */
  readonly windowMs: () => number;
}

export class Claims {
  private readonly index: ClaimIndex;
  private readonly follower: ClaimFollower;
  private readonly writer: ClaimWriter;

  private constructor(private readonly options: ClaimsOptions) {
    const { logService, clock, countDaemons, windowMs } = options;
    const logger = options.logger.forPart('claims');
    this.index = ClaimIndex.create({ clock, windowMs });
    this.follower = ClaimFollower.create({ logService, clock, logger, index: this.index });
    this.writer = ClaimWriter.create({ logService, clock, countDaemons });
  }

  static create(options: ClaimsOptions): Claims {
    return new Claims(options);
  }

  /** @returns the first record of a key; undefined where none has been read */
  find(callerId: string, key: string): ClaimRecord | undefined {
    return this.index.find(callerId, key);
  }

  /**
   * Checks whether a claim is proven to be the first of its key: it is the first that was read, and
   * no earlier one can have been missed. Only then may the owner that it names start the
   * submission.
   */
  isProvenFirst(claim: Extract<ClaimRecord, { kind: 'claim' }>): boolean {
    const first = this.find(claim.callerId, claim.key);
    return (
      this.index.isComplete &&
      first?.kind === 'claim' &&
      first.owner.incarnation === claim.owner.incarnation &&
      first.owner.epoch === claim.owner.epoch
    );
  }

  /**
   * Decides the key of a record: appends the record to the log where the key has none yet, and
   * waits for the first record of the key, which may be another one.
   *
   * @param record - a claim for this daemon, or a refusal
   * @param timeoutMs - longest wait in milliseconds
   */
  async decide(record: ClaimRecord, timeoutMs: number): Promise<ClaimDecision> {
    const { callerId, key } = record;
    const known = this.find(callerId, key);
    if (known !== undefined) {
      return { kind: 'decided', record: known };
    }
    if (!this.index.isComplete) {
      return this.index.hasCoverage ? { kind: 'unproved' } : { kind: 'unavailable' };
    }
    this.writer.add(record);
    const awaited = await withTimeout(
      this.options.clock,
      Math.min(timeoutMs, maxDecisionWaitMs),
      (signal) => this.index.waitFor(callerId, key, signal),
    );
    this.writer.withdraw(record);
    const first = awaited ?? this.find(callerId, key);
    return first === undefined ? { kind: 'unavailable' } : { kind: 'decided', record: first };
  }

  async close(): Promise<void> {
    await Promise.all([this.follower.close(), this.writer.close()]);
  }
}
