/**
 * Hands the frozen tables of a daemon that stops to an heir, in bounded batches.
 */
import { createProblem } from '../errors/problem.js';
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import { maxHandOverRecords, maxPeerNesting } from '../ports/peers.js';
import type { FinishedRecord, HandOverBatch, PeerLink } from '../ports/peers.js';
import { isNestingBounded } from '../utils/jsonNesting.js';
import { within } from '../utils/within.js';
import { countFinishedChars } from './epochRecords.js';
import type { NamedRecord } from './epochRecords.js';
import type { PeerLinks } from './heirDirectory.js';
import type { InheritedTableContent } from './inheritedTables.js';
import type { SubmissionTable } from './submissionTable.js';
import type { SubmissionRecord } from './types.js';

const maxBatchChars = 524_288;
/** A record is wrapped in a few levels more when it travels. */
const maxRecordNesting = maxPeerNesting - 8;
const batchTimeoutMs = 2_000;
const triesPerBatch = 2;

type HandOverRecord = HandOverBatch['records'][number];

/** One submission of a frozen table. */
type FrozenRecord = NamedRecord & { readonly epoch: number };

/** A frozen table, ready to be sent. */
interface FrozenTable {
  readonly incarnation: string;
  readonly oldestEpoch: number;
  readonly newestEpoch: number;
  readonly records: readonly FrozenRecord[];
}

export interface HandOverOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly peers: PeerLinks;
}

/**
 * Hands tables to the first peer that takes them all. A peer that may have taken a part does no
 * harm, since a table only answers.
 *
 * @param tables - frozen tables
 * @returns the heir's incarnation, or nothing when no peer took the tables
 */
export const handOver = async (
  tables: readonly FrozenTable[],
  options: HandOverOptions,
): Promise<string | undefined> => {
  for (const { incarnation, state } of options.peers.heard()) {
    const link = state === 'active' ? options.peers.linkTo(incarnation) : undefined;
    if (link !== undefined && (await sendTables(tables, link, options.clock))) {
      options.logger.info('A peer took the table over.', { reason: incarnation });
      return incarnation;
    }
  }
  options.logger.warn('No peer took the table over.');
  return undefined;
};

/**
 * Reads the own table after its freeze.
 *
 * @param table - the frozen table
 */
export const freezeOwn = (table: SubmissionTable): FrozenTable => {
  const { owner, oldestEpoch } = table;
  const { incarnation, epoch } = owner;
  return { incarnation, oldestEpoch, newestEpoch: epoch, records: [...table.all()] };
};

/** Reads an inherited table, which goes on to the next heir. */
export const freezeInherited = ({ incarnation, table }: InheritedTableContent): FrozenTable => {
  const records = [...table.epochs.values()].flatMap((records) =>
    [...records.all()].map((named) => ({ ...named, epoch: records.epoch })),
  );
  const { oldestEpoch, newestEpoch } = table;
  return { incarnation, oldestEpoch, newestEpoch, records };
};

/** A record that cannot travel is replaced by one that claims nothing. */
const toFinished = (record: SubmissionRecord): FinishedRecord => {
  if (record.state !== 'running' && canTravel(record)) {
    return record;
  }
  const problem = createProblem('outcome-unknown', 'The answer could not be handed over.');
  return { state: 'refused', digest: record.digest, problem };
};

const canTravel = (record: FinishedRecord): boolean => {
  const text = JSON.stringify(record);
  return text.length <= maxBatchChars && isNestingBounded(text, maxRecordNesting);
};

const sendTables = async (
  tables: readonly FrozenTable[],
  link: PeerLink,
  clock: Clock,
): Promise<boolean> => {
  for (const table of tables) {
    if (!(await sendTable(table, link, clock))) {
      return false;
    }
  }
  return true;
};

const sendTable = async (table: FrozenTable, link: PeerLink, clock: Clock): Promise<boolean> => {
  let isComplete = false;
  for (const batch of createBatches(table)) {
    const reply = await sendBatch(batch, link, clock);
    if (reply === undefined) {
      return false;
    }
    isComplete = reply;
  }
  return isComplete;
};

/** @returns whether the table is complete at the heir, or nothing without an acknowledgement */
const sendBatch = async (
  batch: HandOverBatch,
  link: PeerLink,
  clock: Clock,
): Promise<boolean | undefined> => {
  for (let tries = 0; tries < triesPerBatch; tries += 1) {
    const reply = await within(clock, batchTimeoutMs, (signal) => link.handOver(batch, signal));
    if (reply?.isOk() === true) {
      return reply.value.isTableComplete;
    }
  }
  return undefined;
};

/** Splits a table by records and size; an empty table is one empty batch. */
const createBatches = (table: FrozenTable): HandOverBatch[] => {
  const { incarnation, oldestEpoch, newestEpoch, records } = table;
  const parts: HandOverRecord[][] = [[]];
  let chars = 0;
  for (const { epoch, callerId, key, record } of records) {
    const entry = { epoch, callerId, key, record: toFinished(record) };
    const entryChars = countFinishedChars(entry.record) + key.length;
    const last = parts.at(-1);
    if (last?.length === maxHandOverRecords || chars + entryChars > maxBatchChars) {
      parts.push([entry]);
      chars = entryChars;
    } else {
      last?.push(entry);
      chars += entryChars;
    }
  }
  const totalRecords = records.length;
  return parts.map((part) => ({
    incarnation,
    oldestEpoch,
    newestEpoch,
    totalRecords,
    records: part,
  }));
};
