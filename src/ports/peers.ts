/** Port to the other daemons: the messages of the peer protocol, and the links that carry them. */
import type { Result } from 'ts-results-es';
import { z } from 'zod';
import type { ConfigurationCheckpoint } from '../types/configuration.js';
import { configurationCheckpointSchema } from '../types/configuration.js';
import { problemSchema } from '../errors/problem.js';
import { callerClassSchema } from '../types/inventory.js';
import {
  jobAnswerSchema,
  maxTasksPerJob,
  submissionSchema,
  taskOutcomeSchema,
} from '../types/jobs.js';
import type { Heartbeat } from '../types/membership.js';
import { heartbeatSchema } from '../types/membership.js';

/** Version of the peer protocol; messages of another version are refused. */
export const peerProtocolVersion = 1;

/**
 * Deepest nesting of JSON in a message between daemons. It has to exceed the limit for callers' bodies,
 * since the message wraps such a body in a few more levels.
 */
export const maxPeerNesting = 64;

/** The daemon process and epoch that alone may start a submission. */
export const ownerSchema = z.object({
  incarnation: z.string().max(32),
  epoch: z.number().int().nonnegative(),
});
export type Owner = z.infer<typeof ownerSchema>;

/** Identifies one submission and its owner. */
export const submissionRefSchema = z.object({
  callerId: z.string().max(64),
  key: z.string().max(256),
  owner: ownerSchema,
});
export type SubmissionRef = z.infer<typeof submissionRefSchema>;

/** The body of a submission. An invalid one is forwarded too, since the owner remembers the refusal. */
export const submissionBodySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('valid'), submission: submissionSchema }),
  z.object({ kind: z.literal('invalid'), problem: problemSchema }),
]);
export type SubmissionBody = z.infer<typeof submissionBodySchema>;

/** A submission that is forwarded to the daemon that owns its key. */
export const forwardedSubmissionSchema = submissionRefSchema.extend({
  body: submissionBodySchema,
});
export type ForwardedSubmission = z.infer<typeof forwardedSubmissionSchema>;

/** The outcome of a submission: the job's answer, or why the submission was refused. */
export const submitOutcomeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('answered'), answer: jobAnswerSchema }),
  z.object({ kind: z.literal('refused'), problem: problemSchema }),
]);
export type SubmitOutcome = z.infer<typeof submitOutcomeSchema>;

/** The status of a job, as callers get it. */
export const jobStatusSchema = z.discriminatedUnion('state', [
  z.object({ state: z.literal('running') }),
  z.object({ state: z.literal('answered'), answer: jobAnswerSchema }),
  z.object({ state: z.literal('refused'), problem: problemSchema }),
]);
export type JobStatus = z.infer<typeof jobStatusSchema>;

/** A status request that is forwarded to the daemon that owns the key of the job. */
export const forwardedStatusSchema = submissionRefSchema.extend({
  /** Longest wait for the job's answer. */
  waitMs: z.number().int().nonnegative().max(60_000),
});
export type ForwardedStatus = z.infer<typeof forwardedStatusSchema>;

/** The owner's reply to a forwarded status or cancel request. */
export const statusReplySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('known'), status: jobStatusSchema }),
  z.object({ kind: z.literal('unknown'), problem: problemSchema }),
]);
export type StatusReply = z.infer<typeof statusReplySchema>;

/** What the owner remembers of a finished submission; `digest` recognises its body. */
export const finishedRecordSchema = z.discriminatedUnion('state', [
  z.object({ state: z.literal('answered'), digest: z.string(), answer: jobAnswerSchema }),
  z.object({ state: z.literal('refused'), digest: z.string(), problem: problemSchema }),
]);
export type FinishedRecord = z.infer<typeof finishedRecordSchema>;

/** Largest number of records in one hand-over message. */
export const maxHandOverRecords = 512;

/** A part of a frozen submission table, which a daemon hands over at shutdown. */
export const handOverBatchSchema = z.object({
  /** The process that owned the table. */
  incarnation: z.string().max(32),
  /** First and last epoch that the table holds completely. */
  oldestEpoch: z.number().int().nonnegative(),
  newestEpoch: z.number().int().nonnegative(),
  /** Number of records in the whole table. */
  totalRecords: z.number().int().nonnegative(),
  records: z
    .array(
      z.object({
        epoch: z.number().int().nonnegative(),
        callerId: z.string().max(64),
        key: z.string().max(256),
        record: finishedRecordSchema,
      }),
    )
    .max(maxHandOverRecords),
});
export type HandOverBatch = z.infer<typeof handOverBatchSchema>;

/** The successor's acknowledgement of a hand-over batch. */
export const handOverReplySchema = z.object({ isTableComplete: z.boolean() });
export type HandOverReply = z.infer<typeof handOverReplySchema>;

/** The stopped processes whose submission tables a daemon has adopted completely. */
export const adoptedIncarnationsSchema = z.object({
  incarnations: z.array(z.string().max(32)).max(4_096),
});
export type AdoptedIncarnations = z.infer<typeof adoptedIncarnationsSchema>;

/** Largest number of tasks in one offloading request. */
export const maxOffloadedTasks = maxTasksPerJob;

/** A waiting task that is offloaded to a daemon with free slots. */
export const offloadedTaskSchema = z.object({
  taskId: z.string().max(64),
  /** Increases each time the task is offloaded again, after it certainly did not start. */
  pass: z.number().int().nonnegative(),
  jobId: z.string().max(64),
  callerId: z.string().max(64),
  teamId: z.string().max(64),
  callerClass: callerClassSchema,
  operationId: z.string().max(64),
  input: z.unknown(),
  /** Time until the deadline, in milliseconds. */
  timeLeftMs: z.number().positive().max(600_000),
});
export type OffloadedTask = z.infer<typeof offloadedTaskSchema>;

/** Tasks that are offloaded to one daemon process. Resent tasks are recognised by task id and `pass`. */
export const offloadRequestSchema = z.object({
  incarnation: z.string().max(32),
  tasks: z.array(offloadedTaskSchema).min(1).max(maxOffloadedTasks),
});
export type OffloadRequest = z.infer<typeof offloadRequestSchema>;

/** How an offloaded task ended. */
export const offloadedTaskEndSchema = z.object({
  taskId: z.string().max(64),
  outcome: taskOutcomeSchema,
  /** Time from its arrival at the peer to its end, in milliseconds. */
  elapsedMs: z.number().nonnegative(),
});
export type OffloadedTaskEnd = z.infer<typeof offloadedTaskEndSchema>;

/** The reply to an offloading request, sent once all of its tasks have ended. */
export const offloadReplySchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('ended'),
    ends: z.array(offloadedTaskEndSchema).max(maxOffloadedTasks),
    freeSlots: z.number().int().nonnegative(),
  }),
  /** The request is for an earlier process of this daemon; nothing was started. */
  z.object({ kind: z.literal('other-incarnation') }),
]);
export type OffloadReply = z.infer<typeof offloadReplySchema>;

/** Stops the offloaded tasks of a job that has ended. */
export const offloadWithdrawalSchema = z.object({ jobId: z.string().max(64) });
export type OffloadWithdrawal = z.infer<typeof offloadWithdrawalSchema>;

/** Methods of the peer protocol, with their parameters and results. */
export const peerMethods = {
  heartbeat: { params: heartbeatSchema, result: heartbeatSchema },
  forward: { params: forwardedSubmissionSchema, result: submitOutcomeSchema },
  status: { params: forwardedStatusSchema, result: statusReplySchema },
  cancel: { params: submissionRefSchema, result: statusReplySchema },
  handOver: { params: handOverBatchSchema, result: handOverReplySchema },
  fetchInheritance: { params: z.object({}), result: adoptedIncarnationsSchema },
  passTasks: { params: offloadRequestSchema, result: offloadReplySchema },
  withdrawPassed: { params: offloadWithdrawalSchema, result: z.object({}) },
  fetchConfiguration: {
    params: z.object({}),
    result: z.object({ checkpoint: configurationCheckpointSchema.nullable() }),
  },
} as const;

export interface PeerError {
  /**
   * `not-sent`: nothing reached the peer. `broken`: the peer may have acted. `refused`: the peer
   * responded with an error.
   */
  readonly kind: 'not-sent' | 'broken' | 'refused';
  readonly detail: string;
  /** Whether nothing was sent since no process listens at the address; not stated by every adapter. */
  readonly isNobodyThere?: boolean;
}

/** The link to one peer. */
export interface PeerLink {
  heartbeat(own: Heartbeat, signal: AbortSignal): Promise<Result<Heartbeat, PeerError>>;
  forward(
    request: ForwardedSubmission,
    signal: AbortSignal,
  ): Promise<Result<SubmitOutcome, PeerError>>;
  status(request: ForwardedStatus, signal: AbortSignal): Promise<Result<StatusReply, PeerError>>;
  cancel(request: SubmissionRef, signal: AbortSignal): Promise<Result<StatusReply, PeerError>>;
  handOver(batch: HandOverBatch, signal: AbortSignal): Promise<Result<HandOverReply, PeerError>>;
  fetchInheritance(signal: AbortSignal): Promise<Result<AdoptedIncarnations, PeerError>>;
  passTasks(request: OffloadRequest, signal: AbortSignal): Promise<Result<OffloadReply, PeerError>>;
  withdrawPassed(request: OffloadWithdrawal, signal: AbortSignal): Promise<void>;
  fetchConfiguration(
    signal: AbortSignal,
  ): Promise<Result<ConfigurationCheckpoint | null, PeerError>>;
  close(): Promise<void>;
}

export interface PeerConnector {
  /**
   * Opens a link.
   *
   * @param address - IP number and port of the peers' interface, from the VM list or a peer
   */
  connect(address: string): PeerLink;
}

/** The methods that a daemon serves to its peers. */
export interface PeerService {
  /** Receives the heartbeat of a peer and returns this daemon's. */
  heartbeat(received: Heartbeat): Heartbeat;
  forward(request: ForwardedSubmission): Promise<SubmitOutcome>;
  statusForwarded(request: ForwardedStatus): Promise<StatusReply>;
  cancelForwarded(request: SubmissionRef): Promise<StatusReply>;
  handOver(batch: HandOverBatch): HandOverReply;
  fetchInheritance(): AdoptedIncarnations;
  passTasks(request: OffloadRequest): Promise<OffloadReply>;
  withdrawPassed(request: OffloadWithdrawal): void;
  fetchConfiguration(): ConfigurationCheckpoint | null;
}
