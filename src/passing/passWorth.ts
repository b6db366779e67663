/**
 * Tells when a task is worth the two messages that passing it costs.
 */
import type { Objective } from '../types/configuration.js';
import { unreachable } from '../errors/unreachable.js';

/** A message to a peer of another failure domain and its answer, in milliseconds. */
const crossDomainRoundTripMs = 3;
/** Largest share of the local time that the time in another failure domain may have. */
const maxSpilloverShare = 0.5;
/** A message to a peer and its answer, in milliseconds. */
const peerRoundTripMs = 1;

/**
 * Tells whether a task should go to a peer.
 *
 * @param objective - what the deployment weighs more
 * @param localMs - expected time until the task would be completed here, in milliseconds
 * @param peerMs - expected run time at the peer, in milliseconds
 */
export const isOffloadWorthwhile = (
  objective: Objective,
  localMs: number,
  peerMs: number,
): boolean => peerMs + peerRoundTripMs < localMs * maxPeerShareFor(objective);

/** Largest share of the local time that the time at the peer may have. */
const maxPeerShareFor = (objective: Objective): number => {
  switch (objective) {
    case 'response-time':
      return 0.9;
    case 'messages':
      return 0.5;
    default:
      return unreachable(objective);
  }
};

/**
 * Tells whether a task should go to another failure domain because it is completed sooner there.
 *
 * @param objective - what the deployment weighs more
 * @param localMs - expected time until it is completed in this failure domain
 * @param peerMs - expected time until the peer has completed it
 */
export const isSpilloverWorthwhile = (
  objective: Objective,
  localMs: number,
  peerMs: number,
): boolean => {
  switch (objective) {
    case 'response-time':
      return peerMs + crossDomainRoundTripMs < localMs * maxSpilloverShare;
    case 'messages':
      return false;
    default:
      return unreachable(objective);
  }
};
