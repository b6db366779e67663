/** Port to the other daemons of the fleet. */
import type { Result } from 'ts-results-es';
import { z } from 'zod';
import { batchReplySchema, batchSchema } from '../types/dispatch.js';
import type { BatchReply } from '../types/dispatch.js';
import { fleetHeartbeatSchema } from '../types/fleet.js';
import type { FleetHeartbeat } from '../types/fleet.js';
import { routingSchema } from '../types/routing.js';
import type { Routing } from '../types/routing.js';
import type { PeerError } from './peers.js';

/** A batch and its requester. */
export const batchRequestSchema = z.object({
  /** Incarnation of the requester. */
  askedBy: z.string(),
  /** Timestamp of the requester (`fleet/messageAges`), in milliseconds; earlier versions omit it. */
  sentAtMs: z.number().optional(),
  /** Like that of a heartbeat. */
  heldUpMs: fleetHeartbeatSchema.shape.heldUpMs,
  /** Incarnation of the daemon that is meant to run the batch; earlier versions omit it. */
  dispatcherId: z.string().optional(),
  batch: batchSchema,
});
export type BatchRequest = z.infer<typeof batchRequestSchema>;

/** Withdraws a batch whose job has ended. */
export const batchWithdrawalSchema = z.object({ batchId: z.string() });
export type BatchWithdrawal = z.infer<typeof batchWithdrawalSchema>;

/** Times that a cancellation may be passed on to further daemons. */
export const maxCancellationHops = 1;

/** A caller's cancellation of a job that another daemon may have. */
export const jobCancellationSchema = z.object({
  jobId: z.string().max(64),
  /** How often the receiver may pass it on: 1 to pass it on within its failure domain, or 0. */
  hops: z.number().int().nonnegative().max(maxCancellationHops),
});
export type JobCancellationRequest = z.infer<typeof jobCancellationSchema>;

export const cancellationReplySchema = z.object({
  /** Whether the receiver, or a daemon to which it passed the cancellation on, had the job. */
  wasFound: z.boolean(),
  /**
   * Whether the answer is that of all daemons to which the receiver passes it on. Daemons of earlier versions
   * omit it, and may have left out those that did not answer in time.
   */
  isComplete: z.boolean().optional(),
});
export type CancellationReply = z.infer<typeof cancellationReplySchema>;

/** Times that a question about a job may be passed on. */
export const maxQuestionHops = 1;
/** Longest time for which the answer to a question about a job may be held back, in milliseconds. */
export const maxQuestionWaitMs = 1_000;

/** Asks for the end of a job that another daemon holds, and lets the asker's caller wait for it there. */
export const jobQuestionSchema = z.object({
  jobId: z.string().max(64),
  /** Incarnation of the daemon that holds the job. */
  holder: z.string(),
  /** How often the receiver may pass it on: 1 to ask the holder for the asker, or 0. */
  hops: z.number().int().nonnegative().max(maxQuestionHops),
  /** Time for which the holder waits for the end of the job before it answers. */
  waitMs: z.number().nonnegative().max(maxQuestionWaitMs),
});
export type JobQuestion = z.infer<typeof jobQuestionSchema>;

/** What a holder says of a job. */
export const holderAnswerSchema = z.discriminatedUnion('kind', [
  /** It has this end, which is that of all attempts. */
  z.object({
    kind: z.literal('ended'),
    end: z.discriminatedUnion('kind', [
      z.object({ kind: z.literal('completed') }),
      z.object({ kind: z.literal('failed'), reason: z.string() }),
      /** At its caller's request; not since the caller has left. */
      z.object({ kind: z.literal('cancelled') }),
    ]),
  }),
  /** It runs; its runs go on for no longer than this. */
  z.object({ kind: z.literal('running'), leftMs: z.number().nonnegative() }),
  /** An attempt of it waits for another daemon since this time, and may start it. */
  z.object({ kind: z.literal('waiting'), ageMs: z.number().nonnegative() }),
  /** It has ended otherwise, and its runs may go on for this long. */
  z.object({ kind: z.literal('may-run'), leftMs: z.number().nonnegative() }),
  /** None of its runs goes on, and none will start. */
  z.object({ kind: z.literal('none-runs') }),
  /** The daemon that was asked is the holder, and does not remember the job; or it got no answer from the holder. */
  z.object({ kind: z.literal('unknown') }),
  /** Another process has taken the place of the holder. */
  z.object({ kind: z.literal('replaced') }),
]);
export type HolderAnswer = z.infer<typeof holderAnswerSchema>;

/** Methods of the protocol between the daemons of a fleet, with their parameters and results. */
export const fleetMethods = {
  beat: { params: fleetHeartbeatSchema, result: fleetHeartbeatSchema },
  runBatch: { params: batchRequestSchema, result: batchReplySchema },
  withdrawBatch: { params: batchWithdrawalSchema, result: z.object({}) },
  /** Daemons of earlier versions do not know it. */
  cancelJob: { params: jobCancellationSchema, result: cancellationReplySchema },
  /** Daemons of earlier versions do not know it. */
  awaitJob: { params: jobQuestionSchema, result: holderAnswerSchema },
  fetchRouting: { params: z.object({}), result: z.object({ routing: routingSchema.nullable() }) },
} as const;

/** The link to one daemon; every call fails when its timeout is over. */
export interface FleetLink {
  /** Exchanges heartbeats. */
  beat(own: FleetHeartbeat, timeoutMs: number): Promise<Result<FleetHeartbeat, PeerError>>;
  /** Requests a batch, and waits until all of its tasks have ended or some are returned. */
  runBatch(request: BatchRequest, timeoutMs: number): Promise<Result<BatchReply, PeerError>>;
  withdrawBatch(
    withdrawal: BatchWithdrawal,
    timeoutMs: number,
  ): Promise<Result<unknown, PeerError>>;
  cancelJob(
    cancellation: JobCancellationRequest,
    timeoutMs: number,
  ): Promise<Result<CancellationReply, PeerError>>;
  awaitJob(question: JobQuestion, timeoutMs: number): Promise<Result<HolderAnswer, PeerError>>;
  fetchRouting(timeoutMs: number): Promise<Result<Routing | null, PeerError>>;
  close(): Promise<void>;
}

export interface FleetConnector {
  /**
   * Opens a link.
   *
   * @param address - IP number and port of the peers' interface
   */
  connect(address: string): FleetLink;
}

/** The methods that a daemon serves to the other daemons of the fleet. */
export interface FleetService {
  /** Receives the heartbeat of a peer and returns this daemon's. */
  beat(received: FleetHeartbeat): FleetHeartbeat;
  runBatch(request: BatchRequest): Promise<BatchReply>;
  withdrawBatch(withdrawal: BatchWithdrawal): void;
  /** Cancels a job for a caller whose request reached another daemon. */
  cancelJob(cancellation: JobCancellationRequest): Promise<CancellationReply>;
  /** Answers for a job that is held here, or asks its holder. */
  awaitJob(question: JobQuestion): Promise<HolderAnswer>;
  /** @returns the routing configuration in force, or null if there is none */
  fetchRouting(): Routing | null;
}
