/**
 * The planned stop of a daemon, as far as its submissions go.
 */
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import { freezeInherited, freezeOwn, handOver } from './handOver.js';
import type { PeerLinks } from './heirDirectory.js';
import type { InheritedTables } from './inheritedTables.js';
import type { OwnSubmissions } from './ownSubmissions.js';
import type { SubmissionTable } from './submissionTable.js';

/** Time in which the peers learn of the heir from its heartbeats. */
const heirNewsMs = 2_000;

export interface DepartureOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly peers: PeerLinks;
  readonly own: OwnSubmissions;
  readonly table: SubmissionTable;
  readonly inherited: InheritedTables;
}

/**
 * Refuses what is new, waits for what runs, freezes the table and hands it to an heir. It goes on
 * to answer peers from the frozen table until they have heard of the heir.
 */
export const depart = async (options: DepartureOptions): Promise<void> => {
  const { clock, own, table, inherited } = options;
  await own.finish();
  const tables = [freezeOwn(table), ...[...inherited.complete()].map(freezeInherited)];
  const heir = await handOver(tables, options);
  if (heir !== undefined) {
    await clock.sleep(heirNewsMs);
  }
};
