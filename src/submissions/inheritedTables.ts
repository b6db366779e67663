/**
 * The frozen tables of daemons that stopped as planned. They only answer; nothing starts from them.
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
import { attach, digestBody, forgotten, known, neverStarted, refused, unknown } from './replies.js';
import type { Lookup } from './types.js';

export interface InheritedTablesOptions {
  readonly clock: Clock;
  /** Memory of all tables; the oldest tables are dropped beyond it. */
  readonly maxBytes: number;
  /** Time for which a caller may submit a job again, in milliseconds. */
  readonly windowMs: () => number;
}

/** The table of one stopped daemon, as far as it has arrived. */
interface InheritedTable {
  readonly epochs: Map<number, EpochRecords>;
  oldestEpoch: number;
  newestEpoch: number;
  totalRecords: number;
  isComplete: boolean;
  changedAtMs: number;
}

export class InheritedTables {
  private readonly tables = new Map<string, InheritedTable>();
  private changes = 0;

  private constructor(private readonly options: InheritedTablesOptions) {}

  static create(options: InheritedTablesOptions): InheritedTables {
    return new InheritedTables(options);
  }

  /** @returns a number that grows whenever the set of complete tables changes */
  get version(): number {
    this.expire();
    return this.changes;
  }

  /** @returns the incarnations whose complete tables are here */
  incarnations(): string[] {
    this.expire();
    return [...this.tables].flatMap(([incarnation, table]) =>
      table.isComplete ? [incarnation] : [],
    );
  }

  /** Tells whether the complete table of an incarnation is here. */
  isComplete(incarnation: string): boolean {
    this.expire();
    return this.tables.get(incarnation)?.isComplete === true;
  }

  /** Tells whether any part of the table of an incarnation is here. */
  has(incarnation: string): boolean {
    this.expire();
    return this.tables.has(incarnation);
  }

  /**
   * Takes over a part of a frozen table. The same part may come more than once, in any order.
   *
   * @param batch - the part
   * @returns whether the whole table is here now
   */
  accept(batch: HandOverBatch): HandOverReply {
    const table = this.tables.get(batch.incarnation) ?? createTable();
    this.tables.set(batch.incarnation, table);
    table.oldestEpoch = batch.oldestEpoch;
    table.newestEpoch = batch.newestEpoch;
    table.totalRecords = batch.totalRecords;
    table.changedAtMs = this.options.clock.nowMs();
    for (const { epoch, callerId, key, record } of batch.records) {
      const records = table.epochs.get(epoch) ?? EpochRecords.create(epoch);
      table.epochs.set(epoch, records);
      records.set(callerId, key, record);
    }
    if (!table.isComplete && countRecords(table) === table.totalRecords) {
      table.isComplete = true;
      this.changes += 1;
    }
    this.keepWithinMemory();
    return { isTableComplete: this.tables.get(batch.incarnation)?.isComplete === true };
  }

  /** Answers a submission whose owner has stopped; it starts nothing. */
  async submit(request: ForwardedSubmission): Promise<SubmitOutcome> {
    const found = this.find(request);
    switch (found.kind) {
      case 'known':
        return attach(found.record, digestBody(request.body));
      case 'absent':
      case 'never-started':
        return refused(neverStarted());
      case 'forgotten':
        return refused(forgotten());
      default:
        return unreachable(found);
    }
  }

  /** Tells what became of a job whose owner has stopped. */
  status(request: SubmissionRef): StatusReply {
    const found = this.find(request);
    switch (found.kind) {
      case 'known':
        return known(found.record);
      case 'absent':
      case 'never-started':
        return unknown(createProblem('not-found', 'No job is known under this key.'));
      case 'forgotten':
        return unknown(forgotten());
      default:
        return unreachable(found);
    }
  }

  /** @returns every complete table, as batches that another heir can take */
  *complete(): Generator<InheritedTableContent> {
    for (const [incarnation, table] of this.tables) {
      if (table.isComplete) {
        yield { incarnation, table };
      }
    }
  }

  private find({ owner, callerId, key }: SubmissionRef): Lookup {
    this.expire();
    const table = this.tables.get(owner.incarnation);
    const record = table?.epochs.get(owner.epoch)?.find(callerId, key);
    if (record !== undefined) {
      return { kind: 'known', record };
    }
    const isProvable =
      table?.isComplete === true &&
      owner.epoch >= table.oldestEpoch &&
      owner.epoch <= table.newestEpoch;
    return { kind: isProvable ? 'never-started' : 'forgotten' };
  }

  /** Drops whole tables past their window. */
  private expire(): void {
    const { clock, windowMs } = this.options;
    const droppedBeforeMs = clock.nowMs() - windowMs();
    for (const [incarnation, table] of this.tables) {
      if (table.changedAtMs < droppedBeforeMs) {
        this.drop(incarnation);
      }
    }
  }

  private keepWithinMemory(): void {
    for (const incarnation of this.tables.keys()) {
      if (this.bytes <= this.options.maxBytes) {
        return;
      }
      this.drop(incarnation);
    }
  }

  private get bytes(): number {
    return [...this.tables.values()]
      .flatMap(({ epochs }) => [...epochs.values()])
      .reduce((sum, records) => sum + records.bytes, 0);
  }

  private drop(incarnation: string): void {
    this.tables.delete(incarnation);
    this.changes += 1;
  }
}

/** One complete table with the incarnation that filled it. */
export interface InheritedTableContent {
  readonly incarnation: string;
  readonly table: Readonly<Omit<InheritedTable, 'isComplete' | 'changedAtMs'>>;
}

const createTable = (): InheritedTable => ({
  epochs: new Map(),
  oldestEpoch: 0,
  newestEpoch: 0,
  totalRecords: 0,
  isComplete: false,
  changedAtMs: 0,
});

const countRecords = ({ epochs }: InheritedTable): number =>
  [...epochs.values()].reduce((sum, { size }) => sum + size, 0);
