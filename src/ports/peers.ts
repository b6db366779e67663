/** Port to the other daemons: what one daemon asks of another. */
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

/** Version of the peers' messages; a peer with another version is refused. */
export const peerProtocolVersion = 1;

/** Nesting of a message between daemons at most; a caller's body is wrapped in a few levels more. */
export const maxPeerNesting = 64;

/** The daemon process and epoch that alone may start a submission. */
export const ownerSchema = z.object({
  incarnation: z.string().max(32),
  epoch: z.number().int().nonnegative(),
});
export type Owner = z.infer<typeof ownerSchema>;

/** Names one submission, together with its owner. */
export const submissionRefSchema = z.object({
  callerId: z.string().max(64),
  key: z.string().max(256),
  owner: ownerSchema,
});
export type SubmissionRef = z.infer<typeof submissionRefSchema>;

/** The body of a submission; an invalid one travels too, since its refusal is remembered. */
export const submissionBodySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('valid'), submission: submissionSchema }),
  z.object({ kind: z.literal('invalid'), problem: problemSchema }),
]);
export type SubmissionBody = z.infer<typeof submissionBodySchema>;

/** A submission that goes to the daemon which owns its key. */
export const forwardedSubmissionSchema = submissionRefSchema.extend({
  body: submissionBodySchema,
});
export type ForwardedSubmission = z.infer<typeof forwardedSubmissionSchema>;

/** What the intake makes of a submission. */
export const submitOutcomeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('answered'), answer: jobAnswerSchema }),
  z.object({ kind: z.literal('refused'), problem: problemSchema }),
]);
export type SubmitOutcome = z.infer<typeof submitOutcomeSchema>;

/** What is known of a job when a caller asks. */
export const jobStatusSchema = z.discriminatedUnion('state', [
  z.object({ state: z.literal('running') }),
  z.object({ state: z.literal('answered'), answer: jobAnswerSchema }),
  z.object({ state: z.literal('refused'), problem: problemSchema }),
]);
export type JobStatus = z.infer<typeof jobStatusSchema>;

/** A question about a job that goes to the daemon which owns its key. */
export const forwardedStatusSchema = submissionRefSchema.extend({
  waitMs: z.number().int().nonnegative().max(60_000),
});
export type ForwardedStatus = z.infer<typeof forwardedStatusSchema>;

/** The owner's answer about a job. */
export const statusReplySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('known'), status: jobStatusSchema }),
  z.object({ kind: z.literal('unknown'), problem: problemSchema }),
]);
export type StatusReply = z.infer<typeof statusReplySchema>;

/** What became of a submission that runs no more. */
export const finishedRecordSchema = z.discriminatedUnion('state', [
  z.object({ state: z.literal('answered'), digest: z.string(), answer: jobAnswerSchema }),
  z.object({ state: z.literal('refused'), digest: z.string(), problem: problemSchema }),
]);
export type FinishedRecord = z.infer<typeof finishedRecordSchema>;

/** Records in one hand-over message at most. */
export const maxHandOverRecords = 512;

/** A part of the frozen table of a daemon that stops. */
export const handOverBatchSchema = z.object({
  incarnation: z.string().max(32),
  /** Epochs that the table holds whole, both included. */
  oldestEpoch: z.number().int().nonnegative(),
  newestEpoch: z.number().int().nonnegative(),
  /** Records of the whole table. */
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

/** The heir's acknowledgement of a batch. */
export const handOverReplySchema = z.object({ isTableComplete: z.boolean() });
export type HandOverReply = z.infer<typeof handOverReplySchema>;

/** The incarnations whose complete tables a daemon holds. */
export const inheritanceSchema = z.object({ incarnations: z.array(z.string().max(32)).max(4_096) });
export type Inheritance = z.infer<typeof inheritanceSchema>;

/** Tasks in one message between daemons at most. */
export const maxPassedTasks = maxTasksPerJob;

/** A waiting task that goes to a daemon with free slots. */
export const passedTaskSchema = z.object({
  taskId: z.string().max(64),
  /** Grows each time that the task is passed anew, after it certainly did not start. */
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
export type PassedTask = z.infer<typeof passedTaskSchema>;

/** Tasks for one incarnation; sent again, they are recognised by task id and pass. */
export const passTasksRequestSchema = z.object({
  incarnation: z.string().max(32),
  tasks: z.array(passedTaskSchema).min(1).max(maxPassedTasks),
});
export type PassTasksRequest = z.infer<typeof passTasksRequestSchema>;

/** How a passed task ended. */
export const passedTaskEndSchema = z.object({
  taskId: z.string().max(64),
  outcome: taskOutcomeSchema,
  /** Time from arrival to end, in milliseconds. */
  elapsedMs: z.number().nonnegative(),
});
export type PassedTaskEnd = z.infer<typeof passedTaskEndSchema>;

/** The answer to passed tasks, when all of them have ended. */
export const passTasksReplySchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('ended'),
    ends: z.array(passedTaskEndSchema).max(maxPassedTasks),
    freeSlots: z.number().int().nonnegative(),
  }),
  /** The process that was meant is gone; this one started nothing. */
  z.object({ kind: z.literal('other-incarnation') }),
]);
export type PassTasksReply = z.infer<typeof passTasksReplySchema>;

/** Stops the passed tasks of a job that has ended. */
export const withdrawPassedSchema = z.object({ jobId: z.string().max(64) });
export type WithdrawPassed = z.infer<typeof withdrawPassedSchema>;

/** Requests between daemons; the answer of each is in `peerMethods`. */
export const peerMethods = {
  heartbeat: { params: heartbeatSchema, result: heartbeatSchema },
  forward: { params: forwardedSubmissionSchema, result: submitOutcomeSchema },
  status: { params: forwardedStatusSchema, result: statusReplySchema },
  cancel: { params: submissionRefSchema, result: statusReplySchema },
  handOver: { params: handOverBatchSchema, result: handOverReplySchema },
  fetchInheritance: { params: z.object({}), result: inheritanceSchema },
  passTasks: { params: passTasksRequestSchema, result: passTasksReplySchema },
  withdrawPassed: { params: withdrawPassedSchema, result: z.object({}) },
  fetchConfiguration: {
    params: z.object({}),
    result: z.object({ checkpoint: configurationCheckpointSchema.nullable() }),
  },
} as const;

export interface PeerError {
  /** `not-sent`: nothing reached the peer. `broken`: the peer may have acted. */
  readonly kind: 'not-sent' | 'broken' | 'refused';
  readonly detail: string;
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
  fetchInheritance(signal: AbortSignal): Promise<Result<Inheritance, PeerError>>;
  passTasks(
    request: PassTasksRequest,
    signal: AbortSignal,
  ): Promise<Result<PassTasksReply, PeerError>>;
  withdrawPassed(request: WithdrawPassed, signal: AbortSignal): Promise<void>;
  fetchConfiguration(
    signal: AbortSignal,
  ): Promise<Result<ConfigurationCheckpoint | null, PeerError>>;
  close(): Promise<void>;
}

/** Opens links to peers. */
export interface PeerConnector {
  /**
   * Opens a link.
   *
   * @param address - IP number and port of the peers' interface, from the VM list or a peer
   */
  connect(address: string): PeerLink;
}

/** What a daemon serves to its peers. */
export interface PeerService {
  heartbeat(theirs: Heartbeat): Heartbeat;
  forward(request: ForwardedSubmission): Promise<SubmitOutcome>;
  statusForwarded(request: ForwardedStatus): Promise<StatusReply>;
  cancelForwarded(request: SubmissionRef): Promise<StatusReply>;
  handOver(batch: HandOverBatch): HandOverReply;
  fetchInheritance(): Inheritance;
  passTasks(request: PassTasksRequest): Promise<PassTasksReply>;
  withdrawPassed(request: WithdrawPassed): void;
  fetchConfiguration(): ConfigurationCheckpoint | null;
}
