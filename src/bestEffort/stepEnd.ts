/**
 * The ends of steps, and how the ends of several are combined.
 */

/** How a step, or some of its tasks, ended. */
export type StepEnd =
  | { readonly kind: 'done' }
  /** The runs of a task have failed as often as its route allows. */
  | { readonly kind: 'failed'; readonly reason: string }
  /** Nothing more is tried, although tasks may have run. */
  | { readonly kind: 'given-up'; readonly reason: string }
  /**
   * It would end too late, or no dispatcher has a worker for it. A job that has not started is then
   * refused, and its caller may try again after `waitMs` milliseconds.
   */
  | { readonly kind: 'refused'; readonly reason: string; readonly waitMs: number };

export const stepDone: StepEnd = { kind: 'done' };

/**
 * Combines the ends of several steps, or of parts of one step. Rejects as soon as one of them does.
 *
 * @returns the first end that is not `done`, as soon as it is known, or `done` once all are
 */
export const firstUnsuccessful = (ends: readonly Promise<StepEnd>[]): Promise<StepEnd> => {
  const unsuccessful = new Promise<StepEnd>((resolve, reject) => {
    ends.forEach((end) => {
      end.then((one) => (one.kind === 'done' ? undefined : resolve(one)), reject);
    });
  });
  return Promise.race([unsuccessful, Promise.all(ends).then(() => stepDone)]);
};
