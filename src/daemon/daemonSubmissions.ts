/**
 * Wires what takes submissions: admission, claims in the log, the way to the daemon that has one.
 */
import { Claims } from '../claims/claims.js';
import { followConfiguration } from '../jobs/configurationEffects.js';
import { JobRunner } from '../jobs/jobRunner.js';
import type { PeerSet } from '../membership/peerSet.js';
import type { Ports } from '../ports/ports.js';
import { Admission } from '../submissions/admission.js';
import { HeirDirectory } from '../submissions/heirDirectory.js';
import { Intake } from '../submissions/intake.js';
import { OwnSubmissions } from '../submissions/ownSubmissions.js';
import { OwnerRouter } from '../submissions/ownerRouter.js';
import { PlainKeys } from '../submissions/plainKeys.js';
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
  readonly intake: Intake;
}

export const createSubmissions = (options: SubmissionOptions): DaemonSubmissions => {
  const { incarnation, ports, memory, peers } = options;
  const { clock, logger, logService } = ports;
  const { configuration, inherited, windowMs } = memory;
  const own = createOwn(options);
  const heirs = HeirDirectory.create(peers, clock);
  const router = OwnerRouter.create({ clock, peers, heirs });
  const claims = Claims.create({
    logService,
    clock,
    logger,
    windowMs,
    countDaemons: () => peers.heard().length + 1,
  });
  const plainKeys = PlainKeys.create({ clock, claims, own });
  const intake = Intake.create({ incarnation, configuration, own, inherited, router, plainKeys });
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
  followConfiguration(configuration, runner);
  const admission = Admission.create({
    queue,
    processLoad,
    spareSlots: () => countSpareSlots(identity, peers),
    quotaOf: (teamId) => quotas.reachOf(teamId),
  });
  return OwnSubmissions.create({
    clock,
    random,
    configuration,
    runner,
    table,
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
