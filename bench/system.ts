/**
 * The system under test of a scenario: daemons of one kind, with stand-ins for endpoints and platform.
 */
import { z } from 'zod';
import type { Fleet } from '../standins/fleet.js';

/** The kinds of systems that are compared. */
export const systemSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('toucandyke') }),
  z.object({ kind: z.literal('baseline'), policy: z.enum(['random', 'least-connections']) }),
]);
export type SystemKind = z.infer<typeof systemSchema>;

/** Number of calls of one method between daemons. */
export interface PeerMessageCount {
  readonly method: string;
  readonly count: number;
}

/** A running system. A daemon is identified by its position, which it keeps after a restart. */
export interface SystemUnderTest {
  readonly fleet: Fleet;
  /** Number of daemons, running or not. */
  readonly daemonCount: number;
  /** @returns addresses of the running daemons for callers */
  addresses(): readonly string[];
  /** Ends a daemon abruptly, as if its process was killed. */
  kill(position: number): Promise<void>;
  /** Shuts a daemon down as planned. */
  stop(position: number): Promise<void>;
  /** Starts the daemon of a position again, and waits until it accepts work. */
  restart(position: number): Promise<void>;
  /** Partitions the network: isolates a failure domain from the others and from the platform. */
  cut(failureDomainId: string): void;
  /** Ends all partitions. */
  heal(): void;
  /** @returns the calls between daemons so far, by method */
  peerMessages(): readonly PeerMessageCount[];
  close(): Promise<void>;
}
