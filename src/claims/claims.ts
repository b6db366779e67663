/**
 * Decides plain keys: the first record of a key on the log names its owner or its refusal.
 */
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { LogService } from '../ports/logService.js';
import { within } from '../utils/within.js';
import { ClaimFollower } from './claimFollower.js';
import { ClaimIndex } from './claimIndex.js';
import { ClaimWriter } from './claimWriter.js';
import type { ClaimRecord, Verdict } from './types.js';

const maxWaitMs = 3_000;

export interface ClaimsOptions {
  readonly logService: LogService;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Number of live daemons, this one included. */
  readonly countDaemons: () => number;
  /** Time for which a caller may submit a job again, in milliseconds. */
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

  /** @returns the first record of a key, if it has been read */
  find(callerId: string, key: string): ClaimRecord | undefined {
    return this.index.find(callerId, key);
  }

  /**
   * Tells whether this daemon may start a submission that a claim gave to it: its claim is the
   * first of the key, and no earlier one can have been missed.
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
   * Puts a record on the log and reads up to the first record of its key.
   *
   * @param record - a claim for this daemon, or a refusal
   * @param boundMs - how long to wait at most
   */
  async decide(record: ClaimRecord, boundMs: number): Promise<Verdict> {
    const { callerId, key } = record;
    const known = this.find(callerId, key);
    if (known !== undefined) {
      return { kind: 'decided', record: known };
    }
    if (!this.index.isComplete) {
      return this.index.isRead ? { kind: 'unproved' } : { kind: 'unavailable' };
    }
    this.writer.add(record);
    const awaited = await within(this.options.clock, Math.min(boundMs, maxWaitMs), (signal) =>
      this.index.waitFor(callerId, key, signal),
    );
    this.writer.withdraw(record);
    const first = awaited ?? this.find(callerId, key);
    return first === undefined ? { kind: 'unavailable' } : { kind: 'decided', record: first };
  }

  async close(): Promise<void> {
    await Promise.all([this.follower.close(), this.writer.close()]);
  }
}
