/**
 * Schemas of the daemons of a fleet, which share out the workers by shards, and of the heartbeats that
 * they exchange.
 */
import { z } from 'zod';
import { lengthSumsSchema, workerSlowdownSchema } from './learned.js';
import { statedLossesSchema } from './losses.js';
import { ipPortSchema } from './networkAddress.js';
import { resourcesSchema } from './resources.js';

/** A daemon of the fleet. */
export const memberSchema = z.object({
  /** Identifies one process of the daemon; new at every start. */
  incarnation: z.string(),
  /** Address of the peers' interface: IP number and port. */
  address: ipPortSchema,
  failureDomainId: z.string(),
  /** Relative size of the VM. */
  weight: z.number().positive(),
});
export type Member = z.infer<typeof memberSchema>;

/** What is known of a member before its first heartbeat. */
export const knownMemberSchema = memberSchema.pick({ address: true, failureDomainId: true });
export type KnownMember = z.infer<typeof knownMemberSchema>;

/** The shards that the store has assigned to a member; each contains a part of the workers. */
export const shardGrantSchema = z.object({
  /** Increases with every change of the members; the fencing token in orders to the shards' workers. */
  generation: z.number().int().nonnegative(),
  shards: z.array(z.number().int().nonnegative()),
});
export type ShardGrant = z.infer<typeof shardGrantSchema>;

/** Processor capacity of a worker that becomes free at a later time. */
export const capacityReleaseSchema = z.object({
  /** Expected time until the cores are free, in milliseconds. */
  inMs: z.number().nonnegative(),
  cpuMillis: z.number().int(),
});
export type CapacityRelease = z.infer<typeof capacityReleaseSchema>;

/** The load of a worker, as its dispatcher reports it. */
export const workerLoadSchema = z.object({
  workerId: z.string(),
  /** Free capacity now. */
  free: resourcesSchema,
  /** Slowdown factor: run time on this worker over the expected run time on a typical one. */
  slowness: z.number().positive(),
  /** Whether the dispatcher starts tasks on it now. */
  isOpen: z.boolean(),
  /** Capacity that becomes free later, after the tasks that wait at the dispatcher are placed. */
  releases: z.array(capacityReleaseSchema),
});
export type WorkerLoad = z.infer<typeof workerLoadSchema>;

/** The load of all workers of one daemon. */
export const memberLoadSchema = z.object({ workers: z.array(workerLoadSchema) });
export type MemberLoad = z.infer<typeof memberLoadSchema>;

/** A task under which workers were lost, which may be the cause. */
export const suspectTaskSchema = statedLossesSchema.extend({
  taskName: z.string(),
  /** Earlier versions take no other number than a positive one. */
  lostWorkers: z.number().int().positive(),
});
export type SuspectTask = z.infer<typeof suspectTaskSchema>;

/** A job that a caller has cancelled. */
export const cancelledJobSchema = z.object({
  jobId: z.string(),
  /** Whether the job was found when it was cancelled. */
  wasFound: z.boolean(),
  /** Time since the cancellation, in milliseconds. */
  agoMs: z.number().nonnegative(),
});
export type CancelledJob = z.infer<typeof cancelledJobSchema>;

/** A start that a worker may still carry out, or of which it is known by now that it is over. */
export const doubtedStartSchema = z.object({
  /** Identifies the start among all. */
  id: z.string(),
  taskName: z.string(),
  /** The worker that was sent the start, if it is known. */
  workerId: z.string().optional(),
  /** Only rises, in this order. */
  status: z.enum(['open', 'over']),
  /** Time after which the doubt ends by itself, in milliseconds. */
  leftMs: z.number().nonnegative(),
});
export type DoubtedStart = z.infer<typeof doubtedStartSchema>;

/** Longest time for which a job is stated as held: the longest deadline of callers, in milliseconds. */
const maxHeldMs = 86_400_000;

/** Jobs that a daemon holds for callers: runs of them may go on. */
export const heldJobsSchema = z.object({
  /** Incarnation of the daemon that holds them; left out by that daemon itself. */
  holder: z.string().optional(),
  /** Time by which no run of a job goes on by the holder's count, in milliseconds, by the id of the job. */
  leftMsByJob: z.record(z.string().max(64), z.number().nonnegative().max(maxHeldMs)),
});
export type HeldJobGroup = z.infer<typeof heldJobsSchema>;

export const fleetHeartbeatSchema = z.object({
  member: memberSchema,
  /** Timestamp of the sender (`fleet/messageAges`), in milliseconds; earlier versions omit it. */
  sentAtMs: z.number().optional(),
  /**
   * Time for which the sender had been held up when it sent this, in milliseconds, so that it had not read which of its
   * callers had left; omitted if it was not, and by earlier versions.
   */
  heldUpMs: z.number().nonnegative().optional(),
  /**
   * Shortest of the last exchanges of heartbeats with the receiver that the sender has begun, in milliseconds; earlier
   * versions omit it.
   */
  roundTripMs: z.number().nonnegative().optional(),
  /**
   * Members that are reachable from the sender, so that members find each other without the store.
   * Sent together with `lengths`.
   */
  heardMembers: z.array(knownMemberSchema).optional(),
  /** Version of the routing configuration in force at the sender. */
  routingVersion: z.number().int(),
  /** Whether the sender is shutting down. */
  isLeaving: z.boolean(),
  load: memberLoadSchema,
  /** Batches that the sender has requested from the receiver and still waits for. */
  askedBatchIds: z.array(z.string()),
  /**
   * Suspects that the sender has learned of a short while ago, if there are any; to a process with which contact has just
   * begun, those of the last minutes.
   */
  suspects: z.array(suspectTaskSchema).optional(),
  /** Starts in doubt, and ends of doubts, that the sender has learned of a short while ago, if there are any. */
  doubts: z.array(doubtedStartSchema).optional(),
  /**
   * Jobs whose callers may come back, if there are any: those that the sender holds, and to daemons of its own failure
   * domain those that it has heard of from others. Earlier versions omit it.
   */
  heldJobs: z.array(heldJobsSchema).optional(),
  /** Jobs that were cancelled in the last minute, if there are any; to a process with which contact has just begun. */
  cancelledJobs: z.array(cancelledJobSchema).optional(),
  /**
   * Workers that are assigned to the sender while the receiver or another daemon of the failure domain still dispatches to
   * them. Earlier versions omit it, and take workers over without asking.
   */
  awaitedWorkerIds: z.array(z.string()).optional(),
  /** What the sender has learned of run times; in some heartbeats only. */
  lengths: z.array(lengthSumsSchema).optional(),
  /** Slowdown factors of workers; sent together with `lengths`, within a failure domain only. */
  speeds: z.array(workerSlowdownSchema).optional(),
});
export type FleetHeartbeat = z.infer<typeof fleetHeartbeatSchema>;
