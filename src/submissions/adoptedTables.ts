/**
 * The frozen submission tables that this daemon has adopted from daemons that shut down. They only
 * answer requests; no submission starts from them.
 */
import type { Clock } from '../ports/clock.js';
import type {
  ForwardedSubmission,
  HandOverBatch,
  HandOverReply,
  StatusReply,
  SubmissionRef,
  SubmitOutcome,
} from '../ports/peers.js';
import { createProblem } from '../errors/problem.js';
import { unreachable } from '../errors/unreachable.js';
import { EpochRecords } from './epochRecords.js';
import {
  answerResubmission,
  createDiscardedProblem,
  createKnownReply,
  createNeverStartedProblem,
  createRefusal,
  createUnknownReply,
  digestBody,
} from './replies.js';
import type { LookupResult } from './types.js';

export interface AdoptedTablesOptions {
  readonly clock: Clock;
  /** Memory limit for all tables; beyond it the oldest tables are discarded. */
  readonly maxBytes: number;
  /** Returns the time for which a caller may submit a job again, in milliseconds. */
  readonly resubmissionWindowMs: () => number;
}

/** The table of one stopped daemon, as far as it has arrived. */
interface AdoptedTable {
  /** Records by the number of their epoch. */
  readonly epochs: Map<number, EpochRecords>;
  /** First epoch that the complete table covers. */
  oldestEpoch: number;
  /** Last epoch that the complete table covers. */
  newestEpoch: number;
  /** Records of the complete table, over all epochs. */
  totalRecords: number;
  /** Whether every record has arrived; stays true from then on. */
  isComplete: boolean;
  /** When the last batch arrived. */
  updatedAtMs: number;
}

export class AdoptedTables {
  /** By the incarnation of the stopped daemon, in order of the first batch. */
  private readonly tables = new Map<string, AdoptedTable>();
  private changeCount = 0;

  private constructor(private readonly options: AdoptedTablesOptions) {}

  static create(options: AdoptedTablesOptions): AdoptedTables {
    return new AdoptedTables(options);
  }

  /** @returns a number that grows whenever the set of complete tables changes */
  get version(): number {
    this.deleteExpired();
    return this.changeCount;
  }

  /** @returns the incarnations of the stopped daemons whose tables are complete */
  incarnations(): string[] {
    this.deleteExpired();
    return [...this.tables].flatMap(([incarnation, table]) =>
      table.isComplete ? [incarnation] : [],
    );
  }

  /** @returns whether the complete table of an incarnation is held */
  isComplete(incarnation: string): boolean {
    this.deleteExpired();
    return this.tables.get(incarnation)?.isComplete === true;
  }

  /** @returns whether any part of the table of an incarnation is held */
  hasPart(incarnation: string): boolean {
    this.deleteExpired();
    return this.tables.has(incarnation);
  }

  /**
   * Stores a part of a frozen table. The same part may arrive more than once, and parts in any order.
   *
   * @param batch - the part
   * @returns whether the table is complete now
   */
  addBatch(batch: HandOverBatch): HandOverReply {
    const table = this.tables.get(batch.incarnation) ?? createTable();
    this.tables.set(batch.incarnation, table);
    table.oldestEpoch = batch.oldestEpoch;
    table.newestEpoch = batch.newestEpoch;
    table.totalRecords = batch.totalRecords;
    table.updatedAtMs = this.options.clock.nowMs();
    for (const { epoch, callerId, key, record } of batch.records) {
      const records = table.epochs.get(epoch) ?? EpochRecords.create(epoch);
      table.epochs.set(epoch, records);
      records.set(callerId, key, record);
    }
    if (!table.isComplete && countRecords(table) === table.totalRecords) {
      table.isComplete = true;
      this.changeCount += 1;
    }
    this.enforceMemoryLimit();
    return { isTableComplete: this.tables.get(batch.incarnation)?.isComplete === true };
  }

  /**
   * Answers a submission whose owner has stopped, without starting it.
   *
   * @param request - the submission
   * @returns the outcome of the first copy, or a refusal where no record of it is held
   */
  async answerSubmission(request: ForwardedSubmission): Promise<SubmitOutcome> {
    const found = this.lookUp(request);
    switch (found.kind) {
      case 'known':
        return answerResubmission(found.record, digestBody(request.body));
      case 'startable':
      case 'never-started':
        return createRefusal(createNeverStartedProblem());
      case 'discarded':
        return createRefusal(createDiscardedProblem());
      default:
        return unreachable(found);
    }
  }

  /** Returns the status of a job whose owner has stopped. */
  status(request: SubmissionRef): StatusReply {
    const found = this.lookUp(request);
    switch (found.kind) {
      case 'known':
        return createKnownReply(found.record);
      case 'startable':
      case 'never-started':
        return createUnknownReply(createProblem('not-found', 'No job is known under this key.'));
      case 'discarded':
        return createUnknownReply(createDiscardedProblem());
      default:
        return unreachable(found);
    }
  }

  /** @returns every complete table, to be handed over to the next successor */
  *complete(): Generator<CompleteTable> {
    for (const [incarnation, table] of this.tables) {
      if (table.isComplete) {
        yield { incarnation, table };
      }
    }
  }

  /** A missing record proves something only in a complete table that covers the epoch. */
  private lookUp({ owner, callerId, key }: SubmissionRef): LookupResult {
    this.deleteExpired();
    const table = this.tables.get(owner.incarnation);
    const record = table?.epochs.get(owner.epoch)?.find(callerId, key);
    if (record !== undefined) {
      return { kind: 'known', record };
    }
    const isProvable =
      table?.isComplete === true &&
      owner.epoch >= table.oldestEpoch &&
      owner.epoch <= table.newestEpoch;
    return { kind: isProvable ? 'never-started' : 'discarded' };
  }

  /** Deletes tables that have not been updated for a resubmission window. */
  private deleteExpired(): void {
    const { clock, resubmissionWindowMs } = this.options;
    const expiryLimitMs = clock.nowMs() - resubmissionWindowMs();
    for (const [incarnation, table] of this.tables) {
      if (table.updatedAtMs < expiryLimitMs) {
        this.deleteTable(incarnation);
      }
    }
  }

  /** Deletes the oldest tables until the rest fits into the memory limit. */
  private enforceMemoryLimit(): void {
    for (const incarnation of this.tables.keys()) {
      if (this.bytes <= this.options.maxBytes) {
        return;
      }
      this.deleteTable(incarnation);
    }
  }

  /** An estimate of the memory of all tables. */
  private get bytes(): number {
    return [...this.tables.values()]
      .flatMap(({ epochs }) => [...epochs.values()])
      .reduce((sum, records) => sum + records.bytes, 0);
  }

  private deleteTable(incarnation: string): void {
    this.tables.delete(incarnation);
    this.changeCount += 1;
  }
}

/** A complete table with the incarnation of the daemon that filled it. */
export interface CompleteTable {
  readonly incarnation: string;
  readonly table: Readonly<Omit<AdoptedTable, 'isComplete' | 'updatedAtMs'>>;
}

const createTable = (): AdoptedTable => ({
  epochs: new Map(),
  oldestEpoch: 0,
  newestEpoch: 0,
  totalRecords: 0,
  isComplete: false,
  updatedAtMs: 0,
});

const countRecords = ({ epochs }: AdoptedTable): number =>
  [...epochs.values()].reduce((sum, { size }) => sum + size, 0);
