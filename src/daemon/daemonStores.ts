/**
 * Creates the in-memory stores of a daemon: configuration, submission tables, job traces and the
 * service-level report.
 */
import { ConfigurationStore } from '../configuration/configurationStore.js';
import { JobTraces } from '../explain/jobTraces.js';
import type { Ports } from '../ports/ports.js';
import { ServiceLevelRecorder } from '../report/serviceLevelRecorder.js';
import { AdoptedTables } from '../submissions/adoptedTables.js';
import { SubmissionTable } from '../submissions/submissionTable.js';
import type { DaemonIdentity } from './daemonIdentity.js';

/** Limit for the estimated memory of the daemon's own table. */
const maxSubmissionTableBytes = 64 * 1_048_576;
/** Limit for the estimated memory of all adopted tables together. */
const maxAdoptedTablesBytes = 64 * 1_048_576;
/** Trace events that are kept over all jobs, so that a job can be explained afterwards. */
const maxTraceEvents = 200_000;
/** Resubmission window until the first configuration is active. */
const defaultResubmissionWindowMs = 600_000;

export interface DaemonStores {
  readonly configuration: ConfigurationStore;
  /** The submissions that this daemon process owns. */
  readonly submissionTable: SubmissionTable;
  /** The tables of daemons that have shut down. */
  readonly adoptedTables: AdoptedTables;
  readonly traces: JobTraces;
  readonly report: ServiceLevelRecorder;
  /** Returns the time for which a caller may submit a job again, in milliseconds. */
  readonly resubmissionWindowMs: () => number;
}

/**
 * Creates the stores.
 *
 * @param identity - the daemon
 * @param incarnation - random id of this daemon process
 * @param ports - the ports of the daemon
 */
export const createStores = (
  { vmId }: DaemonIdentity,
  incarnation: string,
  { clock, logger, logService, metrics }: Ports,
): DaemonStores => {
  const configuration = ConfigurationStore.create();
  const resubmissionWindowMs = () =>
    configuration.current?.rules.resubmissionWindowMs ?? defaultResubmissionWindowMs;
  return {
    configuration,
    resubmissionWindowMs,
    submissionTable: SubmissionTable.create({
      incarnation,
      clock,
      maxBytes: maxSubmissionTableBytes,
      resubmissionWindowMs,
    }),
    adoptedTables: AdoptedTables.create({
      clock,
      maxBytes: maxAdoptedTablesBytes,
      resubmissionWindowMs,
    }),
    traces: JobTraces.create(clock, maxTraceEvents),
    report: ServiceLevelRecorder.create({
      vmId,
      incarnation,
      clock,
      logger,
      logService,
      configuration,
      metrics,
    }),
  };
};
