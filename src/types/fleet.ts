/**
 * Schemas of the daemons that form one fleet, and of what they tell each other.
 */
import { z } from 'zod';
import { lengthSumsSchema, workerSlownessSchema } from './learned.js';
import { resourcesSchema } from './resources.js';

/** A daemon of the fleet. */
export const memberSchema = z.object({
  /** New at every start of the process. */
  incarnation: z.string(),
  /** Address of the peers' interface: IP number and port. */
  address: z.string(),
  failureDomainId: z.string(),
  /** Relative size of the VM. */
  weight: z.number().positive(),
});
export type Member = z.infer<typeof memberSchema>;

/** What is known of a member that was not heard yet. */
export const knownMemberSchema = memberSchema.pick({ address: true, failureDomainId: true });
export type KnownMember = z.infer<typeof knownMemberSchema>;

/** The shards of workers that a member holds. */
export const shardGrantSchema = z.object({
  /** Rises with every change among the members; also the fencing token for the shards' workers. */
  generation: z.number().int().nonnegative(),
  shards: z.array(z.number().int().nonnegative()),
});
export type ShardGrant = z.infer<typeof shardGrantSchema>;

/** Cores of a worker that become free. */
export const releaseSchema = z.object({
  /** Expected time until the cores are free, in milliseconds. */
  inMs: z.number().nonnegative(),
  cpuMillis: z.number().int(),
});
export type Release = z.infer<typeof releaseSchema>;

/** A worker as its dispatcher tells of it. */
export const workerLoadSchema = z.object({
  workerId: z.string(),
  free: resourcesSchema,
  /** Run time there over the declared run time. */
  slowness: z.number().positive(),
  /** Whether it gets tasks now. */
  isOpen: z.boolean(),
  /** Cores that become free, when the tasks that wait at the dispatcher have their places. */
  releases: z.array(releaseSchema),
});
export type WorkerLoad = z.infer<typeof workerLoadSchema>;

/** The workers of one daemon. */
export const memberLoadSchema = z.object({ workers: z.array(workerLoadSchema) });
export type MemberLoad = z.infer<typeof memberLoadSchema>;

export const heartbeatSchema = z.object({
  member: memberSchema,
  /** Members that the sender hears, so that members find each other without the store; with `lengths`. */
  heardMembers: z.array(knownMemberSchema).optional(),
  routingVersion: z.number().int(),
  isLeaving: z.boolean(),
  load: memberLoadSchema,
  /** Batches that the sender still asks the receiver to run. */
  askedBatchIds: z.array(z.string()),
  /** What the sender has learned of run times; in some heartbeats only. */
  lengths: z.array(lengthSumsSchema).optional(),
  /** What the sender remembers of workers; with `lengths`, within a failure domain. */
  speeds: z.array(workerSlownessSchema).optional(),
});
export type FleetHeartbeat = z.infer<typeof heartbeatSchema>;
