/**
 * Derives the `cause` label of metrics from the reason of an outcome.
 */
const noCause = 'none';

/**
 * Returns the part of the reason before the first colon. The details after it appear only in the log,
 * which keeps the number of label values small.
 *
 * @param outcome - the outcome of a job or a run, with or without a `reason`
 * @returns the label, or `none` if the outcome has no reason
 */
export const causeLabel = (outcome: object): string =>
  'reason' in outcome && typeof outcome.reason === 'string'
    ? (outcome.reason.split(':')[0] ?? noCause)
    : noCause;
