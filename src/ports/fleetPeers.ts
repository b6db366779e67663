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

/** A batch and its requester. */
export const askedBatchSchema = z.object({
  /** Incarnation of the requester. */
  askedBy: z.string(),
  batch: batchSchema,
  /** Load of the requester's own workers; sent within a failure domain only. */
  load: memberLoadSchema.optional(),
});
export type AskedBatch = z.infer<typeof askedBatchSchema>;

/** Withdraws a batch whose job has ended. */
export const withdrawalSchema = z.object({ batchId: z.string() });
export type Withdrawal = z.infer<typeof withdrawalSchema>;

/** Methods of the protocol between the daemons of a fleet, with their parameters and results. */
export const fleetMethods = {
  beat: { params: heartbeatSchema, result: heartbeatSchema },
  runBatch: { params: askedBatchSchema, result: batchEndSchema },
  withdrawBatch: { params: withdrawalSchema, result: z.object({}) },
  fetchRouting: { params: z.object({}), result: z.object({ routing: routingSchema.nullable() }) },
} as const;

/** The link to one daemon; every call fails when its timeout is over. */
export interface FleetLink {
  /** Exchanges heartbeats. */
  beat(own: FleetHeartbeat, timeoutMs: number): Promise<Result<FleetHeartbeat, PeerError>>;
  /** Requests a batch, and waits until all of its tasks have ended or some are returned. */
  runBatch(request: AskedBatch, timeoutMs: number): Promise<Result<BatchEnd, PeerError>>;
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

/** The methods that a daemon serves to the other daemons of the fleet. */
export interface FleetService {
  /** Takes the heartbeat of a peer and returns this daemon's. */
  beat(theirs: FleetHeartbeat): FleetHeartbeat;
  runBatch(request: AskedBatch): Promise<BatchEnd>;
  withdrawBatch(withdrawal: Withdrawal): void;
  /** @returns the routing configuration in force, or null if there is none */
  fetchRouting(): Routing | null;
}
