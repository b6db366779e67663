/**
 * Counts of the requests that endpoints received, by kind.
 */

/** Requests that one or more endpoints received. */
export interface MessageCounts {
  /** Tasks that started. */
  started: number;
  /** Tasks that were refused as busy. */
  busy: number;
  /** Requests to cancel tasks. */
  cancellations: number;
  /** Requests to renew a lease. */
  renewals: number;
  /** Requests whose connection was closed unanswered, because the endpoint had the fault `dead`. */
  cut: number;
}

export const createMessageCounts = (): MessageCounts => ({
  started: 0,
  busy: 0,
  cancellations: 0,
  renewals: 0,
  cut: 0,
});

/**
 * Adds up the counts of several endpoints.
 *
 * @param all - the counts of each endpoint
 */
export const sumMessageCounts = (all: Iterable<MessageCounts>): MessageCounts => {
  const sum = createMessageCounts();
  for (const counts of all) {
    sum.started += counts.started;
    sum.busy += counts.busy;
    sum.cancellations += counts.cancellations;
    sum.renewals += counts.renewals;
    sum.cut += counts.cut;
  }
  return sum;
};
