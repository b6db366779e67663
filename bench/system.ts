/**
 * What a scenario loads: daemons of some kind with their stand-ins.
 */
import { z } from 'zod';
import type { Fleet } from '../standins/fleet.js';

/** The systems that are compared. */
export const systemSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('toucandyke') }),
  z.object({ kind: z.literal('baseline'), policy: z.enum(['random', 'least-connections']) }),
]);
export type SystemKind = z.infer<typeof systemSchema>;

/** Messages between daemons of one kind. */
export interface PeerMessageCount {
  readonly method: string;
  readonly count: number;
}

/** A running system. Daemons are named by their position, which survives a restart. */
export interface System {
  readonly fleet: Fleet;
  readonly daemonCount: number;
  /** @returns the callers' addresses of the daemons that run */
  addresses(): readonly string[];
  /** Cuts a daemon off as if its process was killed. */
  kill(position: number): Promise<void>;
  /** Stops a daemon as planned. */
  stop(position: number): Promise<void>;
  /** Starts a daemon anew, and waits until it takes work. */
  restart(position: number): Promise<void>;
  /** Cuts a failure domain off from the others and from the platform. */
  cut(failureDomainId: string): void;
  heal(): void;
  peerMessages(): readonly PeerMessageCount[];
  close(): Promise<void>;
}
