/** Port to the other daemons of the fleet. */
import type { Result } from 'ts-results-es';
import { z } from 'zod';
import { batchEndSchema, batchSchema } from '../types/dispatch.js';
import type { BatchEnd } from '../types/dispatch.js';
import { heartbeatSchema, memberLoadSchema } from '../types/fleet.js';
import type { FleetHeartbeat } from '../types/fleet.js';
import { routingSchema } from '../types/routing.js';
import type { Routing } from '../types/routing.js';
import type { PeerError } from './peers.js';

/** A batch with the daemon that asks for it. */
export const askedBatchSchema = z.object({
  askedBy: z.string(),
  batch: batchSchema,
  /** The room at the daemon that asks; within a failure domain. */
  load: memberLoadSchema.optional(),
});
export type AskedBatch = z.infer<typeof askedBatchSchema>;

/** Ends a batch whose job has ended. */
export const withdrawalSchema = z.object({ batchId: z.string() });
export type Withdrawal = z.infer<typeof withdrawalSchema>;

/** Requests between the daemons of a fleet, each with its answer. */
export const fleetMethods = {
  beat: { params: heartbeatSchema, result: heartbeatSchema },
  runBatch: { params: askedBatchSchema, result: batchEndSchema },
  withdrawBatch: { params: withdrawalSchema, result: z.object({}) },
  fetchRouting: { params: z.object({}), result: z.object({ routing: routingSchema.nullable() }) },
} as const;

/** The link to one daemon; each call is given up after a time. */
export interface FleetLink {
  beat(own: FleetHeartbeat, timeoutMs: number): Promise<Result<FleetHeartbeat, PeerError>>;
  runBatch(asked: AskedBatch, timeoutMs: number): Promise<Result<BatchEnd, PeerError>>;
  withdrawBatch(withdrawal: Withdrawal, timeoutMs: number): Promise<Result<unknown, PeerError>>;
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

/** What a daemon serves to the others. */
export interface FleetService {
  beat(theirs: FleetHeartbeat): FleetHeartbeat;
  runBatch(asked: AskedBatch): Promise<BatchEnd>;
  withdrawBatch(withdrawal: Withdrawal): void;
  fetchRouting(): Routing | null;
}
