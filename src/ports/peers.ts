/** Port to the other daemons: what one daemon asks of another. */
import type { Result } from 'ts-results-es';
import { z } from 'zod';
import type { ConfigurationCheckpoint } from '../configuration/types.js';
import { configurationCheckpointSchema } from '../configuration/types.js';
import { problemSchema } from '../errors/problem.js';
import { jobAnswerSchema, submissionSchema } from '../jobs/types.js';
import type { Heartbeat } from '../membership/types.js';
import { heartbeatSchema } from '../membership/types.js';

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

/** Requests between daemons; the answer of each is in `peerMethods`. */
export const peerMethods = {
  heartbeat: { params: heartbeatSchema, result: heartbeatSchema },
  forward: { params: forwardedSubmissionSchema, result: submitOutcomeSchema },
  status: { params: forwardedStatusSchema, result: statusReplySchema },
  cancel: { params: submissionRefSchema, result: statusReplySchema },
  handOver: { params: handOverBatchSchema, result: handOverReplySchema },
  fetchInheritance: { params: z.object({}), result: inheritanceSchema },
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
  fetchConfiguration(): ConfigurationCheckpoint | null;
}
