/**
 * Tells when a task is worth the two messages that passing it costs.
 */
import type { Objective } from '../configuration/types.js';
import { unreachable } from '../errors/unreachable.js';

/** A message to a peer and its answer, in milliseconds. */
const roundTripMs = 1;

/**
 * Tells whether a task should go to a peer.
 *
 * @param objective - what the deployment weighs more
 * @param localMs - expected time until the task would be completed here, in milliseconds
 * @param peerMs - expected run time at the peer, in milliseconds
 */
export const isWorthPassing = (objective: Objective, localMs: number, peerMs: number): boolean =>
  peerMs + roundTripMs < localMs * maxShareOf(objective);

/** Largest share of the local time that the time at the peer may have. */
const maxShareOf = (objective: Objective): number => {
  switch (objective) {
    case 'response-time':
      return 0.9;
    case 'messages':
      return 0.5;
    default:
      return unreachable(objective);
  }
};
