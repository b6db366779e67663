/**
 * Wires what takes submissions: admission, claims in the log, the way to the daemon that has one.
 */
import { Claims } from '../claims/claims.js';
import { withdrawTasksOnRemoval } from '../jobs/configurationEffects.js';
import { JobRunner } from '../jobs/jobRunner.js';
import type { PeerSet } from '../membership/peerSet.js';
import type { Ports } from '../ports/ports.js';
import { AdmissionControl } from '../submissions/admission.js';
import { SuccessorDirectory } from '../submissions/heirDirectory.js';
import { SubmissionRouter } from '../submissions/intake.js';
import { OwnSubmissions } from '../submissions/ownSubmissions.js';
import { OwnerClient } from '../submissions/ownerRouter.js';
import { PlainKeyResolver } from '../submissions/plainKeys.js';
import type { DaemonIdentity } from './daemonIdentity.js';
import type { DaemonMemory } from './daemonMemory.js';
import type { DaemonPlacement } from './daemonPlacement.js';

export interface SubmissionOptions {
  readonly identity: DaemonIdentity;
  readonly incarnation: string;
  readonly ports: Ports;
  readonly memory: DaemonMemory;
  readonly peers: PeerSet;
  readonly placement: DaemonPlacement;
}

export interface DaemonSubmissions {
  readonly own: OwnSubmissions;
  readonly claims: Claims;
  readonly intake: SubmissionRouter;
}

export const createSubmissions = (options: SubmissionOptions): DaemonSubmissions => {
  const { incarnation, ports, memory, peers } = options;
  const { clock, logger, logService } = ports;
  const { configuration, inherited, windowMs } = memory;
  const own = createOwn(options);
  const heirs = SuccessorDirectory.create(peers, clock);
  const router = OwnerClient.create({ clock, peers, successors: heirs });
  const claims = Claims.create({
    logService,
    clock,
    logger,
    windowMs,
    countDaemons: () => peers.heard().length + 1,
  });
  const plainKeys = PlainKeyResolver.create({ clock, claims, own });
  const intake = SubmissionRouter.create({
    incarnation,
    configuration,
    own,
    adoptedTables: inherited,
    ownerClient: router,
    plainKeys,
  });
  return { own, claims, intake };
};

const createOwn = ({
  identity,
  ports,
  memory,
  peers,
  placement,
}: SubmissionOptions): OwnSubmissions => {
  const { clock, processLoad, random } = ports;
  const { configuration, table, traces, report } = memory;
  const { queue, quotas, scheduler } = placement;
  const runner = JobRunner.create({ clock, scheduler });
  withdrawTasksOnRemoval(configuration, runner);
  const admission = AdmissionControl.create({
    queue,
    processLoad,
    freePeerSlots: () => countSpareSlots(identity, peers),
    quotaLimitOf: (teamId) => quotas.reachOf(teamId),
  });
  return OwnSubmissions.create({
    clock,
    random,
    configuration,
    runner,
    submissionTable: table,
    admission,
    traces,
    report,
  });
};

/** Free slots that the daemons of this failure domain have told. */
const countSpareSlots = ({ failureDomainId }: DaemonIdentity, peers: PeerSet): number =>
  peers
    .heard()
    .filter((heard) => heard.failureDomainId === failureDomainId)
    .reduce((sum, { freeSlots }) => sum + freeSlots, 0);
