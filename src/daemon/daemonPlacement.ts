/**
 * Creates the components that place tasks on endpoints: the queue, the scheduler, offloading to peers,
 * and quotas.
 */
import { TracedEndpoints } from '../explain/tracedEndpoints.js';
import { followLimits } from '../limits/followLimits.js';
import { QuotaKeeper } from '../limits/quotaKeeper.js';
import type { PeerSet } from '../membership/peerSet.js';
import { PassedTasks } from '../passing/passedTasks.js';
import { PeerSlots } from '../passing/peerSlots.js';
import { TaskPasser } from '../passing/taskPasser.js';
import { Scheduler } from '../placement/scheduler.js';
import { defaultPlacementRules } from '../placement/types.js';
import type { Ports } from '../ports/ports.js';
import { TaskQueue } from '../queue/taskQueue.js';
import type { DaemonIdentity } from './daemonIdentity.js';
import type { DaemonStores } from './daemonMemory.js';

export interface DaemonPlacementOptions {
  readonly identity: DaemonIdentity;
  readonly incarnation: string;
  readonly ports: Ports;
  readonly stores: DaemonStores;
  readonly peers: PeerSet;
  /** Returns whether the daemon accepts tasks that peers offload. */
  readonly isAcceptingTasks: () => boolean;
}

export interface DaemonPlacement {
  readonly queue: TaskQueue;
  readonly scheduler: Scheduler;
  /** The tasks that peers have offloaded to this daemon. */
  readonly offloadedTasks: PassedTasks;
  readonly quotas: QuotaKeeper;
}

/** Creates the components, which follow the limits of each configuration and the peers' quota notices. */
export const createPlacement = (options: DaemonPlacementOptions): DaemonPlacement => {
  const { identity, incarnation, ports, stores, peers, isAcceptingTasks } = options;
  const { clock } = ports;
  const { configuration } = stores;
  const queue = TaskQueue.create(clock);
  const scheduler = createScheduler(options, queue);
  const quotas = QuotaKeeper.create({
    ...identity,
    incarnation,
    clock,
    queue,
    members: () => peers.domainMembers(),
  });
  followLimits(configuration, queue, quotas);
  peers.onHeartbeat((heartbeat) => quotas.hear(heartbeat.incarnation, heartbeat.quota));
  return {
    queue,
    scheduler,
    quotas,
    offloadedTasks: PassedTasks.create({
      incarnation,
      clock,
      scheduler,
      configuration,
      isTaking: isAcceptingTasks,
    }),
  };
};

const createScheduler = (
  { identity, incarnation, ports, stores, peers }: DaemonPlacementOptions,
  queue: TaskQueue,
): Scheduler => {
  const { clock, logger, random, endpoints } = ports;
  const { configuration, traces } = stores;
  const slots = PeerSlots.create({ failureDomainId: identity.failureDomainId, peers });
  return Scheduler.create({
    incarnation,
    clock,
    random,
    logger,
    endpoints: TracedEndpoints.create({ endpoints, traces, clock }),
    queue,
    passing: { slots, passer: TaskPasser.create({ clock, peers, slots }) },
    rules: () => configuration.current?.rules ?? defaultPlacementRules,
  });
};
