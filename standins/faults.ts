/**
 * Faults that the stand-ins can be switched to.
 */

/** Faults of an endpoint. */
export type EndpointFault =
  | { readonly kind: 'none' }
  /** Refuses connections. */
  | { readonly kind: 'dead' }
  /** Runs everything slower by a factor. */
  | { readonly kind: 'straggling'; readonly factor: number }
  /** Starts and fails every task. */
  | { readonly kind: 'failing-all' }
  /** Answers busy to every task. */
  | { readonly kind: 'busy' }
  /** Runs the task and cuts the connection before the answer. */
  | { readonly kind: 'answer-lost' }
  /** Answers late by a time. */
  | { readonly kind: 'answer-late'; readonly lateMs: number }
  /** Answers with the identity of another task. */
  | { readonly kind: 'answer-crossed' };

/** Faults of the log service. */
export type LogFault =
  | { readonly kind: 'none' }
  | { readonly kind: 'outage' }
  | { readonly kind: 'slow'; readonly delayMs: number }
  /** Appends take effect, but their answers are lost. */
  | { readonly kind: 'answer-lost' };
