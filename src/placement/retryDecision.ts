/**
 * Decides after an attempt or an offload whether the task is answered, queued again, or retried.
 */
import { createProblem } from '../errors/problem.js';
import type { Problem } from '../errors/problem.js';
import { unreachable } from '../errors/unreachable.js';
import type { Operation } from '../types/inventory.js';
import type { TaskOutcome } from '../types/jobs.js';
import type { OffloadEnd } from '../offloading/offloadBatch.js';
import type { EndpointReply } from '../ports/endpoints.js';
import { stoppedBeforeStart, stoppedWhileRunning } from './attemptRunner.js';
import type { AttemptEnd } from './attemptRunner.js';

/** What follows for the task. */
export type RetryDecision =
  | { readonly kind: 'answered'; readonly outcome: TaskOutcome }
  /** The task certainly did not start: it is queued again, outside the retry budget. */
  | { readonly kind: 'not-started' }
  /** The task may have run: it is retried if the retry budget allows, else answered. */
  | { readonly kind: 'repeatable'; readonly outcomeWithoutRetry: TaskOutcome };

/**
 * Decides after an attempt on an endpoint.
 *
 * @param operation - operation of the task
 * @param end - how the attempt ended
 */
export const decideAfterAttempt = (operation: Operation, end: AttemptEnd): RetryDecision => {
  switch (end.kind) {
    case 'past-deadline':
      return {
        kind: 'answered',
        outcome: { kind: 'not-run', problem: createPastDeadlineProblem() },
      };
    case 'stopped':
      return { kind: 'answered', outcome: stoppedWhileRunning() };
    case 'replied':
      return decideAfterReply(operation, end.reply);
    default:
      return unreachable(end);
  }
};

/**
 * Decides after a task was offloaded.
 *
 * @param operation - operation of the task
 * @param end - how it ended at the peer
 */
export const decideAfterOffload = (operation: Operation, end: OffloadEnd): RetryDecision => {
  switch (end.kind) {
    case 'ended':
      return { kind: 'answered', outcome: end.outcome };
    case 'not-started':
      return { kind: 'not-started' };
    case 'lost':
      return retryIfRepeatable(
        operation,
        createUnknownOutcome('The peer that ran the task gave no answer.'),
      );
    case 'withdrawn':
      return {
        kind: 'answered',
        outcome: end.isSent ? stoppedWhileRunning() : stoppedBeforeStart(),
      };
    default:
      return unreachable(end);
  }
};

/** A failure that the task itself caused is its outcome and is not retried. */
const decideAfterReply = (operation: Operation, reply: EndpointReply): RetryDecision => {
  switch (reply.kind) {
    case 'done':
      return { kind: 'answered', outcome: { kind: 'done', result: reply.result } };
    case 'failed': {
      const outcome: TaskOutcome = { kind: 'failed', detail: reply.detail };
      return reply.fault === 'task'
        ? { kind: 'answered', outcome }
        : retryIfRepeatable(operation, outcome);
    }
    case 'unknown':
      return retryIfRepeatable(
        operation,
        createUnknownOutcome(`The endpoint gave no answer: ${reply.reason}.`),
      );
    case 'not-started':
      return { kind: 'not-started' };
    default:
      return unreachable(reply);
  }
};

/** A task that may have run is retried only if its operation may run more than once. */
const retryIfRepeatable = (operation: Operation, outcome: TaskOutcome): RetryDecision => {
  switch (operation.kind) {
    case 'once':
      return { kind: 'answered', outcome };
    case 'repeatable':
      return { kind: 'repeatable', outcomeWithoutRetry: outcome };
    default:
      return unreachable(operation.kind);
  }
};

const createUnknownOutcome = (detail: string): TaskOutcome => ({
  kind: 'outcome-unknown',
  problem: createProblem('outcome-unknown', detail),
});

/** Creates the problem of a task whose deadline passed before its start. */
export const createPastDeadlineProblem = (): Problem =>
  createProblem('deadline-exceeded', 'The deadline passed before this task started.', {
    runState: 'not-run',
  });
