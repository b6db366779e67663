/**
 * One request that offloads a batch of tasks to a peer.
 */
import { unreachable } from '../errors/unreachable.js';
import type { OffloadReply, OffloadedTask, OffloadedTaskEnd, PeerLink } from '../ports/peers.js';
import type { OffloadBatch, PendingOffload } from './offloadBatch.js';

/** Result of one request. */
export type RequestResult =
  | {
      readonly kind: 'ended';
      readonly ends: readonly OffloadedTaskEnd[];
      /** Free slots of the peer. */
      readonly freeSlots: number;
    }
  /** The request was not sent or did not reach the peer. */
  | { readonly kind: 'not-started' }
  /** Another process answered and started nothing. */
  | { readonly kind: 'other-incarnation' }
  /** The peer may have started the tasks. */
  | { readonly kind: 'unknown' };

/** Sends the tasks of a batch whose deadline has not passed; without a link, nothing is sent. */
export const requestOffload = async (
  link: PeerLink | undefined,
  { incarnation, offloads }: OffloadBatch,
  nowMs: number,
  signal: AbortSignal,
): Promise<RequestResult> => {
  const tasks = offloads
    .map((offload) => toOffloadedTask(offload, nowMs))
    .filter(({ timeLeftMs }) => timeLeftMs > 0);
  if (link === undefined || tasks.length === 0) {
    return { kind: 'not-started' };
  }
  const reply = await link.passTasks({ incarnation, tasks }, signal);
  if (reply.isOk()) {
    return readReply(reply.value);
  }
  return { kind: reply.error.kind === 'not-sent' ? 'not-started' : 'unknown' };
};

const readReply = (reply: OffloadReply): RequestResult => {
  switch (reply.kind) {
    case 'ended':
      return { kind: 'ended', ends: reply.ends, freeSlots: reply.freeSlots };
    case 'other-incarnation':
      return { kind: 'other-incarnation' };
    default:
      return unreachable(reply);
  }
};

const toOffloadedTask = (
  { entry: { task }, attempt }: PendingOffload,
  nowMs: number,
): OffloadedTask => ({
  taskId: task.taskId,
  pass: attempt,
  jobId: task.jobId,
  callerId: task.callerId,
  teamId: task.teamId,
  callerClass: task.callerClass,
  operationId: task.operation.operationId,
  input: task.input,
  timeLeftMs: task.deadlineAtMs - nowMs,
});
