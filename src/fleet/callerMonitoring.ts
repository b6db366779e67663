/**
 * Connects what tells how late this process reads what its callers send.
 */
import { DaemonOverload } from '../admission/daemonOverload.js';
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { Metrics } from '../ports/metrics.js';
import { AcceptBacklog } from './acceptBacklog.js';
import { CallerContact } from './callerContact.js';
import type { StandstillDetector } from './standstillDetector.js';

export interface CallerMonitoringOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly standstills: Pick<StandstillDetector, 'check'>;
}

export interface CallerMonitoring {
  readonly backlog: AcceptBacklog;
  readonly contact: CallerContact;
  /** Whether this daemon keeps up with its callers. */
  readonly overload: DaemonOverload;
}

export const createCallerMonitoring = (options: CallerMonitoringOptions): CallerMonitoring => {
  const { clock, metrics, standstills } = options;
  const logger = options.logger.forPart('callers');
  const backlog = AcceptBacklog.create(clock, { logger, standstills });
  const overload = DaemonOverload.create({ clock, logger, metrics });
  const contact = CallerContact.create(clock, backlog, (waitMs) => overload.recordWait(waitMs));
  return { backlog, contact, overload };
};
