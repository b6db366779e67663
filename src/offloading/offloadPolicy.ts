/**
 * Decides when offloading a task is worth the two messages that it costs.
 */
import type { Objective } from '../types/configuration.js';
import { unreachable } from '../errors/unreachable.js';

/** Round trip of a message to a peer of another failure domain, in milliseconds. */
const crossDomainRoundTripMs = 3;
/** Largest completion time in another failure domain, as a share of the local one. */
const maxSpilloverShare = 0.5;
/** Round trip of a message to a peer of the same failure domain, in milliseconds. */
const peerRoundTripMs = 1;

/**
 * Returns whether a task should be offloaded to a peer of the same failure domain.
 *
 * @param objective - whether response time or messages have more weight
 * @param localCompletionMs - expected time until this daemon would complete it, in milliseconds
 * @param peerCompletionMs - expected time in which the peer completes it, without the messages, in
 *   milliseconds
 */
export const isOffloadWorthwhile = (
  objective: Objective,
  localCompletionMs: number,
  peerCompletionMs: number,
): boolean => peerCompletionMs + peerRoundTripMs < localCompletionMs * maxPeerShareFor(objective);

/** Largest completion time at the peer, as a share of the local one. */
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
 * Returns whether a task should be offloaded to another failure domain because it is completed
 * sooner there.
 *
 * @param objective - whether response time or messages have more weight
 * @param localCompletionMs - expected time until this daemon would complete it, in milliseconds
 * @param peerCompletionMs - expected time in which the peer completes it, without the messages, in
 *   milliseconds
 */
export const isSpilloverWorthwhile = (
  objective: Objective,
  localCompletionMs: number,
  peerCompletionMs: number,
): boolean => {
  switch (objective) {
    case 'response-time':
      return peerCompletionMs + crossDomainRoundTripMs < localCompletionMs * maxSpilloverShare;
    case 'messages':
      return false;
    default:
      return unreachable(objective);
  }
};
