/**
 * Faults that tests and benchmarks set on the stand-ins.
 */

/** Faults of an endpoint. */
export type EndpointFault =
  | { readonly kind: 'none' }
  /** Closes the connection of every request without an answer, also that of running tasks. */
  | { readonly kind: 'dead' }
  /** Multiplies the run time of tasks that start under the fault by a factor. */
  | { readonly kind: 'straggling'; readonly factor: number }
  /** Starts every task and fails it after 1 ms. */
  | { readonly kind: 'failing-all' }
  /** Refuses every task as busy. */
  | { readonly kind: 'busy' }
  /** Runs tasks, but closes the connection in place of the answer. */
  | { readonly kind: 'answer-lost' }
  /** Delays the answer after the end of the task; its slot is free meanwhile. */
  | { readonly kind: 'answer-late'; readonly lateMs: number }
  /** Answers with the id of another task. */
  | { readonly kind: 'answer-crossed' };

/** Faults of the log service. */
export type LogFault =
  | { readonly kind: 'none' }
  /** Closes the connection of every request without an answer. */
  | { readonly kind: 'outage' }
  /** Delays every request. */
  | { readonly kind: 'slow'; readonly delayMs: number }
  /** Appends take effect, but their answers are lost. */
  | { readonly kind: 'answer-lost' };
