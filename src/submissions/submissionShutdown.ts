/**
 * The planned shutdown of a daemon, as far as its submissions are concerned.
 */
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import { handOver, snapshotAdoptedTable, snapshotOwnTable } from './handOver.js';
import type { PeerLinks } from './successorDirectory.js';
import type { AdoptedTables } from './adoptedTables.js';
import type { OwnSubmissions } from './ownSubmissions.js';
import type { SubmissionTable } from './submissionTable.js';

/** Time for which peers are still answered here, while heartbeats announce the successor. */
const successorAnnouncementMs = 2_000;

export interface SubmissionShutdownOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly peers: PeerLinks;
  readonly own: OwnSubmissions;
  readonly submissionTable: SubmissionTable;
  readonly adoptedTables: AdoptedTables;
}

/**
 * Refuses new submissions, waits until no job runs, freezes the table, and hands it over to a
 * successor together with the adopted tables. After a hand-over it waits a while, in which this
 * daemon still answers peers from the frozen tables.
 */
export const shutDownSubmissions = async (options: SubmissionShutdownOptions): Promise<void> => {
  const { clock, own, submissionTable, adoptedTables } = options;
  await own.drainAndFreeze();
  const tables = [
    snapshotOwnTable(submissionTable),
    ...[...adoptedTables.complete()].map(snapshotAdoptedTable),
  ];
  const successor = await handOver(tables, options);
  if (successor !== undefined) {
    await clock.sleep(successorAnnouncementMs);
  }
};
