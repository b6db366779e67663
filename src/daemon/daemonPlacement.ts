/**
 * Wires what brings tasks to endpoints: the queue, the scheduler, passing to peers, quotas.
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
import type { DaemonMemory } from './daemonMemory.js';

export interface PlacementOptions {
  readonly identity: DaemonIdentity;
  readonly incarnation: string;
  readonly ports: Ports;
  readonly memory: DaemonMemory;
  readonly peers: PeerSet;
  /** Tells whether the daemon takes tasks of peers. */
  readonly isTaking: () => boolean;
}

export interface DaemonPlacement {
  readonly queue: TaskQueue;
  readonly scheduler: Scheduler;
  readonly passedTasks: PassedTasks;
  readonly quotas: QuotaKeeper;
}

export const createPlacement = (options: PlacementOptions): DaemonPlacement => {
  const { identity, incarnation, ports, memory, peers, isTaking } = options;
  const { clock } = ports;
  const { configuration } = memory;
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
  peers.onHeartbeat((heard) => quotas.hear(heard.incarnation, heard.quota));
  return {
    queue,
    scheduler,
    quotas,
    passedTasks: PassedTasks.create({ incarnation, clock, scheduler, configuration, isTaking }),
  };
};

const createScheduler = (
  { identity, incarnation, ports, memory, peers }: PlacementOptions,
  queue: TaskQueue,
): Scheduler => {
  const { clock, logger, random, endpoints } = ports;
  const { configuration, traces } = memory;
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
