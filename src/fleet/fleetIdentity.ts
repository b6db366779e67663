/**
 * What a daemon of a fleet is given: who it is, and the ports to everything outside it.
 */
import type { Clock } from '../ports/clock.js';
import type { FleetConnector } from '../ports/fleetPeers.js';
import type { FleetStore } from '../ports/fleetStore.js';
import type { Logger } from '../ports/logger.js';
import type { Metrics } from '../ports/metrics.js';
import type { Random } from '../ports/random.js';
import type { WorkerPort } from '../ports/workers.js';
import type { Member } from '../types/fleet.js';
import type { SchedulingPolicy } from '../types/schedulingPolicy.js';

export interface FleetPorts {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly store: FleetStore;
  readonly workers: WorkerPort;
  readonly connector: FleetConnector;
}

export interface FleetIdentity {
  /** This daemon as a member of the fleet. */
  readonly member: Member;
  /** All failure domains of the fleet, this daemon's own included. */
  readonly failureDomainIds: readonly string[];
  /** Longest lease that workers accept, in milliseconds. */
  readonly longestLeaseMs: number;
  /** Time after which a caller whose connection broke sends its job again, in milliseconds, if it is known. */
  readonly callerResendMs?: number | undefined;
  /** Factor by which a task runs longer outside the rack of its data. */
  readonly farRackFactor: number;
  /** Longest time for which a daemon that stops as planned keeps its jobs, in milliseconds. */
  readonly stopGraceMs: number;
  /** How jobs that compete for workers are ordered and admitted; `deadline` if left out. */
  readonly schedulingPolicy?: SchedulingPolicy | undefined;
}
