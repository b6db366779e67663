/**
 * Wires what a daemon remembers: the configuration, submissions, traces of jobs, service levels.
 */
import { ConfigurationStore } from '../configuration/configurationStore.js';
import { JobTraces } from '../explain/jobTraces.js';
import type { Ports } from '../ports/ports.js';
import { ServiceLevelReport } from '../report/serviceLevelReport.js';
import { AdoptedTables } from '../submissions/inheritedTables.js';
import { SubmissionTable } from '../submissions/submissionTable.js';
import type { DaemonIdentity } from './daemonIdentity.js';

const maxTableBytes = 64 * 1_048_576;
const maxInheritedBytes = 64 * 1_048_576;
/** Events of jobs that are kept to explain them. */
const maxTraceEvents = 200_000;
/** Window until the first configuration is in force. */
const defaultResubmissionWindowMs = 600_000;

export interface DaemonMemory {
  readonly configuration: ConfigurationStore;
  readonly table: SubmissionTable;
  readonly inherited: AdoptedTables;
  readonly traces: JobTraces;
  readonly report: ServiceLevelReport;
  /** Time for which a submission may be sent again, in milliseconds. */
  readonly windowMs: () => number;
}

/**
 * Creates the memory of a daemon.
 *
 * @param identity - who the daemon is
 * @param incarnation - this start of its process
 * @param ports - to the outside world
 */
export const createMemory = (
  { vmId }: DaemonIdentity,
  incarnation: string,
  { clock, logger, logService, metrics }: Ports,
): DaemonMemory => {
  const configuration = ConfigurationStore.create();
  const windowMs = () =>
    configuration.current?.rules.resubmissionWindowMs ?? defaultResubmissionWindowMs;
  return {
    configuration,
    windowMs,
    table: SubmissionTable.create({ incarnation, clock, maxBytes: maxTableBytes, windowMs }),
    inherited: AdoptedTables.create({
      clock,
      maxBytes: maxInheritedBytes,
      resubmissionWindowMs: windowMs,
    }),
    traces: JobTraces.create(clock, maxTraceEvents),
    report: ServiceLevelReport.create({
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
