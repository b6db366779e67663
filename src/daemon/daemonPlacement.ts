/**
 * Creates the components that place tasks on endpoints: the queue, the scheduler, offloading to peers,
 * and quotas.
 */
import { TracedEndpoints } from '../explain/tracedEndpoints.js';
import { applyConfiguredLimits } from '../limits/applyConfiguredLimits.js';
import { QuotaAllocator } from '../limits/quotaAllocator.js';
import type { PeerSet } from '../membership/peerSet.js';
import { OffloadedTaskRunner } from '../offloading/offloadedTaskRunner.js';
import { PeerSlots } from '../offloading/peerSlots.js';
import { TaskOffloader } from '../offloading/taskOffloader.js';
import { Scheduler } from '../placement/scheduler.js';
import { defaultPlacementRules } from '../placement/types.js';
import type { Ports } from '../ports/ports.js';
import { TaskQueue } from '../queue/taskQueue.js';
import type { DaemonIdentity } from './daemonIdentity.js';
import type { DaemonStores } from './daemonStores.js';

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
  readonly offloadedTasks: OffloadedTaskRunner;
  readonly quotas: QuotaAllocator;
}

/** Creates the components, which follow the limits of each configuration and the peers' quota notices. */
export const createPlacement = (options: DaemonPlacementOptions): DaemonPlacement => {
  const { identity, incarnation, ports, stores, peers, isAcceptingTasks } = options;
  const { clock } = ports;
  const { configuration } = stores;
  const queue = TaskQueue.create(clock);
  const scheduler = createScheduler(options, queue);
  const quotas = QuotaAllocator.create({
    ...identity,
    incarnation,
    clock,
    queue,
    members: () => peers.domainMembers(),
  });
  applyConfiguredLimits(configuration, queue, quotas);
  peers.onHeartbeat((heartbeat) => quotas.receiveNotice(heartbeat.incarnation, heartbeat.quota));
  return {
    queue,
    scheduler,
    quotas,
    offloadedTasks: OffloadedTaskRunner.create({
      incarnation,
      clock,
      scheduler,
      configuration,
      isAcceptingTasks,
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
    offloading: { slots, offloader: TaskOffloader.create({ clock, peers, slots }) },
    rules: () => configuration.current?.rules ?? defaultPlacementRules,
  });
};
