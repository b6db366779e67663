/**
 * Creates the components that handle submissions: admission control, claims on the log, and the routing
 * to the daemon that owns a key.
 */
import { Claims } from '../claims/claims.js';
import { withdrawTasksOnRemoval } from '../jobs/withdrawTasksOnRemoval.js';
import { JobRunner } from '../jobs/jobRunner.js';
import type { PeerSet } from '../membership/peerSet.js';
import type { Ports } from '../ports/ports.js';
import { AdmissionControl } from '../submissions/admissionControl.js';
import { SuccessorDirectory } from '../submissions/successorDirectory.js';
import { SubmissionRouter } from '../submissions/submissionRouter.js';
import { OwnSubmissions } from '../submissions/ownSubmissions.js';
import { OwnerClient } from '../submissions/ownerClient.js';
import { PlainKeyResolver } from '../submissions/plainKeyResolver.js';
import type { DaemonIdentity } from './daemonIdentity.js';
import type { DaemonStores } from './daemonStores.js';
import type { DaemonPlacement } from './daemonPlacement.js';

export interface DaemonSubmissionsOptions {
  readonly identity: DaemonIdentity;
  readonly incarnation: string;
  readonly ports: Ports;
  readonly stores: DaemonStores;
  readonly peers: PeerSet;
  readonly placement: DaemonPlacement;
}

export interface DaemonSubmissions {
  /** The submissions that this daemon process owns. */
  readonly own: OwnSubmissions;
  /** The claims that decide the owners of plain keys. */
  readonly claims: Claims;
  /** The entry point for requests of callers and peers. */
  readonly router: SubmissionRouter;
}

/** Creates the components and connects them. */
export const createSubmissions = (options: DaemonSubmissionsOptions): DaemonSubmissions => {
  const { incarnation, ports, stores, peers } = options;
  const { clock, logger, logService } = ports;
  const { configuration, adoptedTables, resubmissionWindowMs } = stores;
  const own = createOwnSubmissions(options);
  const successors = SuccessorDirectory.create(peers, clock);
  const ownerClient = OwnerClient.create({ clock, peers, successors });
  const claims = Claims.create({
    logService,
    clock,
    logger,
    windowMs: resubmissionWindowMs,
    countDaemons: () => peers.reachablePeers().length + 1,
  });
  const plainKeys = PlainKeyResolver.create({ clock, claims, own });
  const router = SubmissionRouter.create({
    incarnation,
    configuration,
    own,
    adoptedTables,
    ownerClient,
    plainKeys,
  });
  return { own, claims, router };
};

const createOwnSubmissions = ({
  identity,
  ports,
  stores,
  peers,
  placement,
}: DaemonSubmissionsOptions): OwnSubmissions => {
  const { clock, processLoad, random } = ports;
  const { configuration, submissionTable, traces, report } = stores;
  const { queue, quotas, scheduler } = placement;
  const runner = JobRunner.create({ clock, scheduler });
  withdrawTasksOnRemoval(configuration, runner);
  const admission = AdmissionControl.create({
    queue,
    processLoad,
    freePeerSlots: () => countFreePeerSlots(identity, peers),
    quotaLimitOf: (teamId) => quotas.attainableLimit(teamId),
  });
  return OwnSubmissions.create({
    clock,
    random,
    configuration,
    runner,
    submissionTable,
    admission,
    traces,
    report,
  });
};

/** Sums up the free slots in the last heartbeats of the peers of this failure domain. */
const countFreePeerSlots = ({ failureDomainId }: DaemonIdentity, peers: PeerSet): number =>
  peers
    .reachablePeers()
    .filter((heartbeat) => heartbeat.failureDomainId === failureDomainId)
    .reduce((sum, { freeSlots }) => sum + freeSlots, 0);
