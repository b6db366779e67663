/**
 * What the end of an attempt means for its task.
 */
import { createProblem } from '../errors/problem.js';
import type { Problem } from '../errors/problem.js';
import { unreachable } from '../errors/unreachable.js';
import type { Operation } from '../types/inventory.js';
import type { TaskOutcome } from '../types/jobs.js';
import type { OffloadEnd } from '../passing/taskPasser.js';
import type { EndpointReply } from '../ports/endpoints.js';
import { stoppedBeforeStart, stoppedWhileRunning } from './attempts.js';
import type { AttemptEnd } from './attempts.js';

export type RetryDecision =
  | { readonly kind: 'answered'; readonly outcome: TaskOutcome }
  /** The task certainly did not start; another attempt costs no promise. */
  | { readonly kind: 'not-started' }
  /** The task may be repeated if the retry budget allows; else this is its outcome. */
  | { readonly kind: 'repeatable'; readonly outcomeWithoutRetry: TaskOutcome };

/**
 * Tells what the end of an attempt means.
 *
 * @param operation - what the task runs
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
 * Tells what the end of a passed task means.
 *
 * @param operation - what the task runs
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

/** @returns the problem of a task whose deadline passed before its start */
export const createPastDeadlineProblem = (): Problem =>
  createProblem('deadline-exceeded', 'The deadline passed before this task started.', {
    runState: 'not-run',
  });
