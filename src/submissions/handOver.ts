/**
 * Hands the frozen tables of a daemon that shuts down over to a successor, in bounded batches.
 */
import { createProblem } from '../errors/problem.js';
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import { maxHandOverRecords, maxPeerNesting } from '../ports/peers.js';
import type { FinishedRecord, HandOverBatch, PeerLink } from '../ports/peers.js';
import { isNestingBounded } from '../utils/jsonNesting.js';
import { withTimeout } from '../utils/withTimeout.js';
import { countJsonChars } from './epochRecords.js';
import type { KeyedRecord } from './epochRecords.js';
import type { PeerLinks } from './successorDirectory.js';
import type { CompleteTable } from './adoptedTables.js';
import type { SubmissionTable } from './submissionTable.js';
import type { SubmissionRecord } from './types.js';

/** Characters of the records and keys of one batch; also the limit for a single record. */
const maxBatchChars = 524_288;
/** Leaves room for the levels of the message around a record. */
const maxRecordNesting = maxPeerNesting - 8;
const batchTimeoutMs = 2_000;
const maxAttemptsPerBatch = 2;

type HandOverRecord = HandOverBatch['records'][number];

/** One submission of a frozen table. */
type FrozenRecord = KeyedRecord & { readonly epoch: number };

/** Snapshot of a frozen table, ready to be sent. */
interface FrozenTable {
  /** The daemon process that filled the table. */
  readonly incarnation: string;
  /** Epochs that the table covers completely, both included. */
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
 * Hands tables over to the first active peer that acknowledges all of them. Parts that another peer
 * has stored before do no harm, since no submission starts from an adopted table.
 *
 * @param tables - frozen tables
 * @returns the successor's incarnation, or nothing when no peer acknowledged all tables
 */
export const handOver = async (
  tables: readonly FrozenTable[],
  options: HandOverOptions,
): Promise<string | undefined> => {
  for (const { incarnation, state } of options.peers.reachablePeers()) {
    const link = state === 'active' ? options.peers.linkTo(incarnation) : undefined;
    if (link !== undefined && (await sendTables(tables, link, options.clock))) {
      options.logger.info('A successor has adopted the submission table.', { reason: incarnation });
      return incarnation;
    }
  }
  options.logger.warn('No peer has adopted the submission table.');
  return undefined;
};

/**
 * Takes a snapshot of this daemon's own table.
 *
 * @param table - the table, after its freeze
 */
export const snapshotOwnTable = (table: SubmissionTable): FrozenTable => {
  const { owner, oldestEpoch } = table;
  const { incarnation, epoch } = owner;
  return { incarnation, oldestEpoch, newestEpoch: epoch, records: [...table.entries()] };
};

/** Takes a snapshot of an adopted table, which is handed over to the next successor. */
export const snapshotAdoptedTable = ({ incarnation, table }: CompleteTable): FrozenTable => {
  const records = [...table.epochs.values()].flatMap((records) =>
    [...records.entries()].map((entry) => ({ ...entry, epoch: records.epoch })),
  );
  const { oldestEpoch, newestEpoch } = table;
  return { incarnation, oldestEpoch, newestEpoch, records };
};

/** Replaces a record that cannot be sent by a refusal with unknown outcome. */
const toTransferableRecord = (record: SubmissionRecord): FinishedRecord => {
  if (record.state !== 'running' && isTransferable(record)) {
    return record;
  }
  const problem = createProblem('outcome-unknown', 'The answer could not be handed over.');
  return { state: 'refused', digest: record.digest, problem };
};

const isTransferable = (record: FinishedRecord): boolean => {
  const text = JSON.stringify(record);
  return text.length <= maxBatchChars && isNestingBounded(text, maxRecordNesting);
};

/** @returns whether the peer holds every table completely */
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

/** @returns whether the peer holds the table completely; false after an unacknowledged batch */
const sendTable = async (table: FrozenTable, link: PeerLink, clock: Clock): Promise<boolean> => {
  let isComplete = false;
  for (const batch of splitIntoBatches(table)) {
    const reply = await sendBatch(batch, link, clock);
    if (reply === undefined) {
      return false;
    }
    isComplete = reply;
  }
  return isComplete;
};

/** @returns whether the peer holds the table completely, or nothing without an acknowledgement */
const sendBatch = async (
  batch: HandOverBatch,
  link: PeerLink,
  clock: Clock,
): Promise<boolean | undefined> => {
  for (let attempt = 0; attempt < maxAttemptsPerBatch; attempt += 1) {
    const reply = await withTimeout(clock, batchTimeoutMs, (signal) =>
      link.handOver(batch, signal),
    );
    if (reply?.isOk() === true) {
      return reply.value.isTableComplete;
    }
  }
  return undefined;
};

/** Splits a table by number of records and by size; an empty table gives one empty batch. */
const splitIntoBatches = (table: FrozenTable): HandOverBatch[] => {
  const { incarnation, oldestEpoch, newestEpoch, records } = table;
  const parts: HandOverRecord[][] = [[]];
  let chars = 0;
  for (const { epoch, callerId, key, record } of records) {
    const entry = { epoch, callerId, key, record: toTransferableRecord(record) };
    const entryChars = countJsonChars(entry.record) + key.length;
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
