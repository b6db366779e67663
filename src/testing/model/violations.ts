/**
 * How a scenario breaks the rules of the users.
 */
export type Violation =
  /** Two runs of one task at one time, on workers that are up. */
  | { readonly rule: 'twice'; readonly detail: string; readonly overlapMs: number }
  /** A job was answered as failed without its cause. */
  | { readonly rule: 'failed-without-cause'; readonly detail: string }
  /** A job was answered as completed, and some task was not done. */
  | { readonly rule: 'completed-without-end'; readonly detail: string }
  /** A job was refused, and some task of the attempt started. */
  | { readonly rule: 'refused-though-started'; readonly detail: string }
  /** A job was reported as cancelled or as unknown, and its tasks went on. */
  | { readonly rule: 'cancelled-though-running'; readonly detail: string }
  /** A cancellation was not confirmed in time, though all daemons could be asked. */
  | { readonly rule: 'cancellation-unconfirmed'; readonly detail: string }
  /** A task that crashes its workers was started three times more after three workers had crashed under it. */
  | { readonly rule: 'budget'; readonly detail: string }
  /** A start brought a worker that refuses nothing over its capacity. */
  | { readonly rule: 'limit'; readonly detail: string }
  /** A part of a daemon ended with an unhandled rejection, which ends the process. */
  | { readonly rule: 'unhandled-rejection'; readonly detail: string };
